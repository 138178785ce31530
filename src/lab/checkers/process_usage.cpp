#include "lab/checkers/process_usage.h"

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace pearchute::lab {

namespace {

namespace fs = std::filesystem;

std::size_t entries_of(const fs::path& folder) {
  std::error_code error;
  std::size_t count = 0;
  for (fs::directory_iterator at(folder, error); !error && at != fs::directory_iterator();
       at.increment(error))
    ++count;
  return count;
}

}  // namespace

std::optional<std::chrono::nanoseconds> cpu_time_of(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &used) != 0) return std::nullopt;
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

std::uint64_t machine_memory_kb() {
  std::ifstream meminfo("/proc/meminfo");
  for (std::string line; std::getline(meminfo, line);) {
    if (line.starts_with("MemTotal:")) return std::stoull(line.substr(9));
  }
  return 0;
}

std::optional<ProcessUsage> read_process_usage(pid_t process) {
  const fs::path folder = "/proc/" + std::to_string(process);
  ProcessUsage usage;
  std::ifstream status(folder / "status");
  bool has_memory = false;  // a process that has ended and was not waited for has no memory fields
  for (std::string line; std::getline(status, line);) {
    const auto number = [&](const char* name, std::uint64_t& value) {
      if (!line.starts_with(name)) return false;
      value = std::stoull(line.substr(std::string(name).size()));
      return true;
    };
    if (number("VmRSS:", usage.resident_kb)) has_memory = true;
    number("VmHWM:", usage.peak_resident_kb);
    number("Threads:", usage.threads);
  }
  if (!has_memory) return std::nullopt;
  usage.cpu_time = cpu_time_of(process).value_or(std::chrono::nanoseconds(0));
  usage.taken_at = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
  usage.descriptors = entries_of(folder / "fd");
  return usage;
}

double cpu_share_between(const ProcessUsage& earlier, const ProcessUsage& later) {
  const auto passed = std::chrono::duration<double>(later.taken_at - earlier.taken_at);
  if (passed.count() <= 0) return 0;
  return std::chrono::duration<double>(later.cpu_time - earlier.cpu_time) / passed;
}

bool ProcessUsageSampler::sample() {
  const std::optional<ProcessUsage> usage = read_process_usage(process_);
  if (!usage) return false;
  if (samples_.size() < max_samples) samples_.push_back(*usage);
  else samples_.back() = *usage;
  return true;
}

double ProcessUsageSampler::mean_cpu_share() const {
  return samples_.size() < 2 ? 0 : cpu_share_between(samples_.front(), samples_.back());
}

double ProcessUsageSampler::max_cpu_share() const {
  double max_share = 0;
  for (std::size_t i = 1; i < samples_.size(); ++i)
    max_share = std::max(max_share, cpu_share_between(samples_[i - 1], samples_[i]));
  return max_share;
}

std::uint64_t ProcessUsageSampler::most_resident_kb() const {
  std::uint64_t max_kb = 0;
  for (const ProcessUsage& usage : samples_) max_kb = std::max(max_kb, usage.resident_kb);
  return max_kb;
}

std::uint64_t ProcessUsageSampler::most_descriptors() const {
  std::uint64_t max_count = 0;
  for (const ProcessUsage& usage : samples_) max_count = std::max(max_count, usage.descriptors);
  return max_count;
}

}  // namespace pearchute::lab
