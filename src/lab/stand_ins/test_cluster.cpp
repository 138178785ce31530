#include "lab/stand_ins/test_cluster.h"

#include <Poco/Net/ServerSocket.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/stand_ins/child_process.h"

namespace pearchute::lab {

using nlohmann::json;
using std::chrono::milliseconds;

HistoryChecker::Kind kind_of(const std::string& type) {
  HistoryChecker::Kind kind;
  kind.once = type == "once";
  kind.in_order = type == "load";
  if (type == "local") kind.zones = {"east"};
  return kind;
}

std::string free_address(std::size_t number) {
  const int pid = ::getpid();
  const std::string host = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) +
                           "." + std::to_string(1 + number % 250);
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(host, 0), true);
  return socket.address().toString();
}

TestCluster::TestCluster(const ClusterSpec& spec) : spec_(spec) {
  ::signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/pearchute-lab-XXXXXX";
  if (!::mkdtemp(folder)) throw SystemError("can't create a folder for the laboratory's files", "/tmp");
  folder_ = folder;
  on([this] { create_stand_ins(); });
  for (std::size_t i = 0; i < managers_.size() && spec_.starts_managers; ++i) start(i);
}

void TestCluster::create_stand_ins() {
  report_own_delay(steady_now());
  ServiceTerms terms;
  terms.order_rest = spec_.order_rest, terms.ration = spec_.ration;
  if (spec_.cold.lasts.count() > 0) terms.cold = spec_.cold;
  record_.set_terms(terms);
  channel_ = std::make_unique<StandInChannel>(loop());
  for (int i = 0; i < spec_.engines; ++i) {
    engines_.push_back(std::make_unique<StandInEngine>(loop(), "e" + std::to_string(i + 1), spec_.cores,
                                                       spec_.memory_mb, spec_.seed + static_cast<unsigned>(i),
                                                       &record_));
    record_.set_zone(engines_.back()->name(), spec_.zones[static_cast<std::size_t>(i) % spec_.zones.size()]);
  }
  std::string channel_address = channel_->address();
  if (spec_.relayed) {
    const auto relay_to = [this](const std::string& target) {
      return std::make_unique<Relay>(loop(), "127.0.0.1:0", Poco::Net::SocketAddress(target));
    };
    for (const auto& engine : engines_) engine_relays_.push_back(relay_to(engine->address()));
    for (int i = 0; i < 2; ++i) channel_relays_.push_back(relay_to(channel_->address()));
    channel_address = channel_relays_.front()->address();
  }
  channel_->tell(members_now(), true);
  clients_ = std::make_unique<StandInClients>(loop(), spec_.seed, record_, kind_of);
  for (int i = 0; i < spec_.managers; ++i) {
    Manager& manager = managers_.emplace_back();
    const auto number = static_cast<std::size_t>(i);
    manager.name = "n" + std::to_string(i + 1);
    manager.zone = spec_.zones[number % spec_.zones.size()];
    manager.listen = free_address(number);
    manager.admin = folder_ + "/" + manager.name + ".sock";
    manager.configuration = folder_ + "/" + manager.name + ".json";
    manager.admin_file = folder_ + "/" + manager.name + ".ini";
    manager.log = folder_ + "/" + manager.name + ".log";
    write_configuration(number, channel_address);
    std::ofstream(manager.admin_file)
        << "[admin]\nlisten = unix:" << manager.admin << "\norders_file = " << folder_ << "/" << manager.name
        << ".orders\nnotice_ms = 500\n";
    manager.caller = std::make_unique<admin::Caller>(loop(), admin::parse_endpoint("unix:" + manager.admin));
    clients_->add_manager(manager.listen);
  }
}

TestCluster::~TestCluster() {
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    if (ended(i) != -1) {
      end_successor(i);
      continue;
    }
    ::kill(managers_[i].process, SIGKILL);
    ::waitpid(managers_[i].process, nullptr, 0);
  }
  on([this] {
    *alive_ = false;
    clients_.reset(), managers_.clear(), engine_relays_.clear(), channel_relays_.clear();
    engines_.clear(), channel_.reset();
    loop().settle();
  });
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

// A manager that a fleet file's command line has started again is no child of this process. It is asked to
// end over its admin channel, and waited for up to 8 s.
void TestCluster::end_successor(std::size_t manager) {
  admin::CallEnd how{};
  admin::v1::Call end;
  end.mutable_end()->set_within_ms(1);
  call(manager, end, &how);
  const Time until = steady_now() + std::chrono::seconds(8);
  while (how == admin::CallEnd::answered && steady_now() < until) {
    rest(milliseconds(20));
    admin::v1::Call who;
    who.mutable_who();
    call(manager, who, &how);
  }
}

std::vector<StandInChannel::Member> TestCluster::members_now() const {
  std::vector<StandInChannel::Member> members;
  for (std::size_t i = 0; i < engines_.size(); ++i) members.push_back(member(i));
  return members;
}

StandInChannel::Member TestCluster::member(std::size_t engine, const std::string& phase) const {
  const std::string address = spec_.relayed ? engine_relays_[engine]->address() : engines_[engine]->address();
  const auto since = up_since_ms_.find(engine);
  return {engines_[engine]->name(),
          address,
          spec_.zones[engine % spec_.zones.size()],
          "std",
          phase,
          since == up_since_ms_.end() ? 0 : since->second};
}

void TestCluster::start_anew(std::size_t engine) {
  const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
  up_since_ms_[engine] = std::chrono::duration_cast<milliseconds>(unix_now).count();
  engines_[engine]->live();
  record_.on_engine_started(engines_[engine]->name(), spec_.cores);
  channel_->tell({member(engine)}, false);
}

// Reports how late the stand-ins' thread is, since observations are recorded that much too late.
void TestCluster::report_own_delay(Time due) {
  const Time now = steady_now();
  record_.on_own_delay(std::max(now - due, Time(0)));
  constexpr milliseconds interval(5);
  loop().at(loop().now() + interval, [this, alive = alive_, next = now + Time(interval)] {
    if (*alive) report_own_delay(next);
  });
}

void TestCluster::write_configuration(std::size_t number, const std::string& channel) {
  const Manager& manager = managers_[number];
  const auto slowest = std::chrono::duration_cast<std::chrono::microseconds>(spec_.slowest).count();
  const auto sla_time = std::chrono::duration_cast<std::chrono::microseconds>(spec_.sla_time).count();
  const auto type = [&](const char* name, const char* repeat, bool in_order, double worth) {
    return json{{"name", name},    {"repeat", repeat},  {"keyScope", "all"}, {"window", 9'000'000},
                {"slo", sla_time}, {"giveUp", slowest}, {"worth", worth},    {"byArrival", in_order}};
  };
  json local = type("local", "pure", false, 1);
  local["runsIn"] = {"east"};
  const auto order_rest = std::chrono::duration_cast<std::chrono::microseconds>(spec_.order_rest).count();
  json known = json::array();
  if (spec_.knows_list) known.push_back(StandInChannel::event(1, members_now(), true));
  json configuration = {{"name", manager.name},
                        {"listen", manager.listen},
                        {"seed", "1"},
                        {"limits", {{"sockets", spec_.sockets}, {"memory_mb", spec_.manager_memory_mb}}},
                        {"channel", channel},
                        {"known", {{"cursor", spec_.knows_list ? 1 : 0}, {"cmds", known}}},
                        {"settings",
                         {{"classes",
                           {type("quick", "pure", false, 1), type("report", "pure", false, 5),
                            type("load", "token", true, 3), type("once", "side_effect", false, 2), local}},
                          {"hostTypes", {"std"}},
                          {"failureDomains", spec_.zones},
                          {"zone", manager.zone},
                          {"me", number},
                          {"nInstances", spec_.fleet_managers > 0 ? spec_.fleet_managers : spec_.managers},
                          {"obligations", {{"stopSendingWithin", 500'000}, {"orderPause", order_rest}}},
                          {"familyInfo",
                           {{"coresByKind", {spec_.cores}},
                            {"sizeMb", {spec_.memory_mb}},
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
  if (spec_.cold.lasts.count() > 0) {
    const auto in_us = [](milliseconds time) {
      return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    };
    json& obligations = configuration["settings"]["obligations"];
    obligations["cold"] = in_us(spec_.cold.lasts), obligations["fall"] = in_us(spec_.cold.window);
    obligations["coldFrom"] = spec_.cold.share, obligations["tipMultiple"] = spec_.cold.multiple;
  }
  if (spec_.ration) {
    json& obligations = configuration["settings"]["obligations"];
    obligations["ratioSpan"] =
        std::chrono::duration_cast<std::chrono::microseconds>(spec_.ration->window).count();
    obligations["freeResends"] = spec_.ration->few, obligations["extraShare"] = spec_.ration->share;
  }
  std::ofstream(manager.configuration) << configuration.dump(1) << "\n";
}

std::string TestCluster::write_fleet() const {
  const std::string name = folder_ + "/fleet.ini";
  std::ofstream file(name);
  file << "[fleet]\ntimeout_ms = 1000\n";
  for (const Manager& manager : managers_) {
    file << "\n[instance " << manager.name << "]\nadmin = unix:" << manager.admin
         << "\nzone = " << manager.zone << "\nstart = exec " << spec_.pearchuted << " --config "
         << manager.configuration << " --admin " << manager.admin_file << " 2>>" << manager.log << "\n";
  }
  return name;
}

void TestCluster::move_channel(std::size_t manager, const std::string& address) {
  write_configuration(manager, address);
}

void TestCluster::start(std::size_t number) {
  Manager& manager = managers_[number];
  ChildProcess child;
  child.program = spec_.pearchuted;
  child.arguments = {"--config", manager.configuration, "--admin", manager.admin_file};
  if (spec_.environment) child.environment = spec_.environment(number);
  child.log = manager.log;
  manager.process = start_child(child);
}

void TestCluster::signal(std::size_t manager, int signal) {
  if (managers_[manager].process > 0) ::kill(managers_[manager].process, signal);
}

int TestCluster::ended(std::size_t number) {
  Manager& manager = managers_[number];
  if (manager.process < 0) return -2;
  int status = 0;
  if (::waitpid(manager.process, &status, WNOHANG) == 0) return -1;
  manager.process = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
}

bool TestCluster::until(const std::function<bool()>& done, milliseconds timeout) {
  const Time end = steady_now() + timeout;
  while (!on(done)) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

void TestCluster::rest(milliseconds time) { std::this_thread::sleep_for(time); }

admin::v1::Reply TestCluster::call(std::size_t manager, admin::v1::Call call, admin::CallEnd* end) {
  std::promise<std::pair<admin::CallEnd, admin::v1::Reply>> promise;
  auto reply = promise.get_future();
  on([&] {
    managers_[manager].caller->call(std::move(call), std::chrono::seconds(3),
                                    [&](admin::CallEnd how, const admin::v1::Reply& what) {
                                      promise.set_value({how, what});
                                    });
  });
  const auto [how, what] = reply.get();
  if (end) *end = how;
  return what;
}

admin::v1::Reply TestCluster::order(std::size_t manager, const std::string& subject, bool drains,
                                    std::uint64_t generation, const std::string& holder,
                                    const std::string& id, milliseconds lease) {
  admin::v1::Call order;
  order.mutable_order()->set_id(id.empty() ? holder + "-" + std::to_string(generation) : id);
  order.mutable_order()->set_subject(subject), order.mutable_order()->set_holder(holder);
  order.mutable_order()->set_generation(generation), order.mutable_order()->set_drains(drains);
  order.mutable_order()->set_lease_ms(static_cast<std::uint64_t>(lease.count()));
  return call(manager, order);
}

admin::v1::Status TestCluster::status(std::size_t manager) {
  admin::v1::Call what;
  what.mutable_status();
  return call(manager, what).status();
}

std::string TestCluster::last_line(std::size_t manager) const {
  std::ifstream log(managers_[manager].log);
  std::string last;
  for (std::string line; std::getline(log, line);) last = line;
  return last;
}

void TestCluster::must_serve(std::uint64_t engines_up) {
  if (all_serving(engines_up)) return;
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    if (ended(i) == -1) continue;
    std::ifstream log(managers_[i].log);
    const std::string log_text{std::istreambuf_iterator<char>(log), {}};
    // The platform's build, which has no admin channel, accepts neither --config nor --admin.
    const bool other_build = log_text.find("takes no arguments") != std::string::npos;
    throw TestClusterError(
        managers_[i].name + " has exited; its last log line: " + last_line(i), spec_.pearchuted,
        other_build ? "this pearchuted has no admin channel; run 'make build' and take the programs "
                      "of that folder (--programs)"
                    : "check whether that program starts by hand");
  }
  throw TestClusterError("the managers don't serve all engines; last log line of the first: " + last_line(0),
                         folder_);
}

bool TestCluster::all_serving(std::uint64_t engines_up) {
  const Time end = steady_now() + std::chrono::seconds(20);
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    while (status(i).engines_up() != engines_up || status(i).identity().phase() != "serving") {
      if (steady_now() > end || (spec_.starts_managers && ended(i) != -1)) return false;
      rest(milliseconds(10));
    }
  }
  return true;
}

}  // namespace pearchute::lab
