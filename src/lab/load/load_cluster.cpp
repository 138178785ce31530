#include "lab/load/load_cluster.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "errors/error.h"
#include "lab/stand_ins/child_process.h"
#include "lab/stand_ins/log_tail.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t address_number = 240;  // distinct from the numbers of TestCluster
constexpr milliseconds startup_timeout(20'000);
constexpr milliseconds check_interval(2);

// Whether the manager's check answers 200. False as well if the manager can't be reached.
bool is_ready(const std::string& address) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(0, 200'000));
    socket.setReceiveTimeout(Poco::Timespan(0, 200'000));
    const std::string request = "GET /check HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    char answer[64];
    const int length = socket.receiveBytes(answer, sizeof answer);
    const std::string_view text(answer, static_cast<std::size_t>(std::max(length, 0)));
    return text.starts_with("HTTP/1.1 200");
  } catch (const Poco::Exception&) {
    return false;
  }
}

json class_settings(const char* name, const char* repeat, double worth, const LoadClusterSpec& spec) {
  using std::chrono::microseconds;
  return json{{"name", name},
              {"repeat", repeat},
              {"keyScope", "all"},
              {"window", 9'000'000},
              {"slo", microseconds(spec.sla_time).count()},
              {"giveUp", microseconds(spec.longest_timeout).count()},
              {"worth", worth},
              {"byArrival", false}};
}

}  // namespace

LoadCluster::LoadCluster(const LoadClusterSpec& spec) : spec_(spec) {
  ::signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/pearchute-load-XXXXXX";
  if (!::mkdtemp(folder)) throw SystemError("can't create a folder for the laboratory's files", "/tmp");
  folder_ = folder;
  configuration_ = folder_ + "/manager.json";
  log_ = folder_ + "/manager.log";
  manager_address_ = free_address(address_number);
  EnginePoolSpec engines = spec_.engines;
  engines.once_classes.push_back(class_run_once);
  engines_ = std::make_unique<StandInEnginePool>(engines, executions_);
  channel_thread_.on([this] {
    channel_ = std::make_unique<StandInChannel>(channel_thread_.loop());
    channel_->tell(members(), true);
  });
  write_configuration();
  start();
  try {
    wait_until_ready();
  } catch (...) {
    stop();
    throw;
  }
}

LoadCluster::~LoadCluster() { stop(); }

void LoadCluster::stop() {
  if (manager_runs()) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
  channel_thread_.on([this] {
    channel_.reset();
    channel_thread_.loop().settle();
  });
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::vector<StandInChannel::Member> LoadCluster::members() const {
  std::vector<StandInChannel::Member> members;
  for (std::size_t i = 0; i < engines_->addresses().size(); ++i)
    members.push_back({"e" + std::to_string(i + 1), engines_->addresses()[i], "east", "std", "active"});
  return members;
}

void LoadCluster::write_configuration() const {
  const json known = StandInChannel::event(1, members(), true);
  const json configuration = {{"name", "loaded"},
                              {"listen", manager_address_},
                              {"seed", std::to_string(spec_.seed)},
                              {"limits", {{"sockets", spec_.sockets}, {"memory_mb", spec_.memory_mb}}},
                              {"channel", channel_->address()},
                              {"known", {{"cursor", 1}, {"cmds", json::array({known})}}},
                              {"settings",
                               {{"classes",
                                 {class_settings(class_of_low_value, "pure", 1, spec_),
                                  class_settings(class_of_high_value, "pure", 10, spec_),
                                  class_settings(class_run_once, "side_effect", 2, spec_)}},
                                {"hostTypes", {"std"}},
                                {"failureDomains", {"east"}},
                                {"zone", "east"},
                                {"me", 0},
                                {"nInstances", 1},
                                {"obligations", {{"stopSendingWithin", 500'000}, {"orderPause", 100'000}}},
                                {"familyInfo",
                                 {{"coresByKind", {spec_.engines.cores}},
                                  {"sizeMb", {spec_.engines.memory_mb}},
                                  {"takesGrants", true},
                                  {"takesPriority", true},
                                  {"grantCap", 0.5}}},
                                {"limits",
                                 {{"attemptsCap", 3},
                                  {"cancel", true},
                                  {"connectTimeout", 250'000},
                                  {"idleClose", 15'000'000},
                                  {"streamsPerConn", 4},
                                  {"retryAfter", true},
                                  {"maxRetryAfter", 500'000}}}}}};
  std::ofstream(configuration_) << configuration.dump(1) << "\n";
}

void LoadCluster::start() {
  process_ = start_child({.program = spec_.pearchuted,
                          .arguments = {"--config", configuration_},
                          .environment = {},
                          .log = log_});
}

bool LoadCluster::manager_runs() {
  if (process_ <= 0) return false;
  if (::waitpid(process_, nullptr, WNOHANG) == 0) return true;
  process_ = -1;
  return false;
}

void LoadCluster::wait_until_ready() {
  const auto start = std::chrono::steady_clock::now();
  while (!is_ready(manager_address_)) {
    if (!manager_runs() || std::chrono::steady_clock::now() > start + startup_timeout) {
      const std::vector<std::string> log_lines = last_lines(log_, 1);
      throw TestClusterError(
          "the manager does not serve; its last log line: " + (log_lines.empty() ? "" : log_lines.back()),
          spec_.pearchuted);
    }
    std::this_thread::sleep_for(check_interval);
  }
  time_to_ready_ = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

}  // namespace pearchute::lab
