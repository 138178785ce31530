#include "lab/faults/fault_injection.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>

#include "errors/error.h"

namespace pearchute::lab {

FaultInjection::FaultInjection(std::string library, std::string file, std::string program, std::uint64_t seed)
    : library_(std::move(library)), file_(std::move(file)), program_(std::move(program)), seed_(seed) {
  if (::access(library_.c_str(), R_OK) != 0)
    throw SystemError("fault injection library not found", library_,
                      "build the laboratory (PEARCHUTE_LAB=ON)");
  const int descriptor = ::open(file_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (descriptor < 0 || ::ftruncate(descriptor, sizeof(FaultControl)) != 0)
    throw SystemError("can't create the fault control file", file_);
  void* mapped = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  if (mapped == MAP_FAILED) throw SystemError("can't map the fault control file", file_);
  control_ = static_cast<FaultControl*>(mapped);  // all zero: no call fails
}

FaultInjection::~FaultInjection() {
  ::munmap(control_, sizeof(FaultControl));
  ::unlink(file_.c_str());
}

std::vector<std::pair<std::string, std::string>> FaultInjection::environment() const {
  return {
      {"LD_PRELOAD", library_},
      {"ASAN_OPTIONS",
       "verify_asan_link_order=0"},  // a sanitizer's runtime would refuse to load after the preloaded library
      {fault_control_variable, file_},
      {fault_seed_variable, std::to_string(seed_)},
      {fault_program_variable, program_},
      {fault_folder_variable, folder_}};
}

void FaultInjection::set(FaultKind kind, double share) {
  const double per_million = std::clamp(share, 0.0, 1.0) * 1e6;
  control_->per_million[static_cast<std::size_t>(kind)] = static_cast<std::uint32_t>(per_million);
}

void FaultInjection::set_none() {
  for (auto& share : control_->per_million) share = 0;
}

void FaultInjection::step_wall_clock(std::chrono::nanoseconds offset) {
  control_->wall_clock_offset_ns = offset.count();
}

std::uint64_t FaultInjection::struck(FaultKind kind) const {
  return control_->struck[static_cast<std::size_t>(kind)];
}

std::uint64_t FaultInjection::passed(FaultKind kind) const {
  return control_->passed[static_cast<std::size_t>(kind)];
}

std::uint64_t FaultInjection::wall_clock_reads() const { return control_->wall_clock_reads; }

}  // namespace pearchute::lab
