// A small site on loopback: a stand-in command channel, stand-in engines and clients, which share one event
// loop, and managers as processes with their admin channels. The destructor ends the managers.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_client.h"
#include "lab/stand_ins/clients.h"
#include "lab/stand_ins/engine.h"
#include "lab/stand_ins/engine_list_channel.h"
#include "lab/stand_ins/relay.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

struct ClusterSpec {
  int managers = 1, engines = 2;
  std::vector<std::string> zones = {"east", "west"};  // engines and managers are assigned to them in turn
  int cores = 8;
  double memory_mb = 8000;
  std::uint64_t seed = 1;
  std::string pearchuted;  // path of the program
  std::string pearchute_agent;
  bool starts_managers = true;                // false: agents start them
  std::chrono::milliseconds slowest{4000};    // the longest request timeout
  std::chrono::milliseconds sla_time{600};    // SLA time of each reservation type
  int sockets = 512, manager_memory_mb = 48;  // the limits in a manager's configuration
  bool knows_list = false;                    // the configuration includes the complete endpoint list, too
  int fleet_managers = 0;                     // number of managers in the settings; 0: `managers`
  ColdRule cold;
  std::chrono::milliseconds order_rest{100};  // quiet period of a key after an uncertain outcome
  std::optional<RationTerms> ration;
  bool relayed = false;  // a relay is put in front of each engine, and two in front of the channel
  // Returns the environment variables of a manager, by its number, in addition to the laboratory's.
  std::function<std::vector<std::pair<std::string, std::string>>(std::size_t)> environment;
};

class TestCluster {
 public:
  explicit TestCluster(const ClusterSpec& spec);
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  struct Manager {
    std::string name, zone, listen, admin, configuration, admin_file, log;
    pid_t process = -1;
    std::unique_ptr<admin::Caller> caller;
  };
  // Runs `what` on the stand-ins' event loop and returns its result. The stand-ins may be used only there.
  template <class What>
  auto on(What what) {
    return loop_thread_.on(std::move(what));
  }
  net::Loop& loop() { return loop_thread_.loop(); }
  HistoryChecker& record() { return record_; }
  StandInChannel& channel() { return *channel_; }
  StandInClients& crowd() { return *clients_; }
  std::vector<Manager>& managers() { return managers_; }
  std::vector<std::unique_ptr<StandInEngine>>& engines() { return engines_; }
  StandInChannel::Member member(std::size_t engine, const std::string& phase = "active") const;
  // The engine listens again as one that has just started, and the endpoint list announces that. Call within
  // on().
  void start_anew(std::size_t engine);
  std::vector<StandInChannel::Member> members_now() const;
  const std::string& folder() const { return folder_; }
  // Valid only with ClusterSpec::relayed.
  Relay& engine_relay(std::size_t engine) { return *engine_relays_[engine]; }
  Relay& channel_relay(std::size_t which) { return *channel_relays_[which]; }
  // Writes a fleet file from which pearchutectl can start the managers again as they were started; returns
  // its path.
  std::string write_fleet() const;

  void start(std::size_t manager);
  void signal(std::size_t manager, int signal);
  // Returns -1 while the process runs, then once its exit status, or -2 after a signal. Returns -2 if there
  // is no process.
  int ended(std::size_t manager);
  // Writes a configuration with another command channel, which the manager uses from its next reload on.
  void move_channel(std::size_t manager, const std::string& address);

  // Evaluates `done` on the loop every 5 ms until it is true. Returns false after `timeout`.
  bool until(const std::function<bool()>& done, std::chrono::milliseconds timeout = std::chrono::seconds(20));
  void rest(std::chrono::milliseconds time);
  HistoryChecker::Verdict verdict() {
    return on([this] { return record_.verdict(); });
  }
  // Waits until no request is open. Returns false after `timeout`.
  bool quiet(std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    return until([this] { return record_.verdict(), record_.open() == 0; }, timeout);
  }
  // Calls a manager's admin channel and waits for the reply, 3 s at most.
  admin::v1::Reply call(std::size_t manager, admin::v1::Call call, admin::CallEnd* end = nullptr);
  // Orders the manager to drain or to use the subject.
  admin::v1::Reply order(std::size_t manager, const std::string& subject, bool drains,
                         std::uint64_t generation, const std::string& holder = "lab",
                         const std::string& id = "",
                         std::chrono::milliseconds lease = std::chrono::seconds(60));
  admin::v1::Status status(std::size_t manager);
  // Waits up to 20 s until every manager serves and has `engines_up` engines.
  bool all_serving(std::uint64_t engines_up);
  // The same, but throws TestClusterError, with the end of a manager's log, if that fails.
  void must_serve(std::uint64_t engines_up);

 private:
  void create_stand_ins();
  void report_own_delay(Time due);
  std::string last_line(std::size_t manager) const;  // of the manager's log
  void end_successor(std::size_t manager);
  void write_configuration(std::size_t manager, const std::string& channel);

  net::EventLoopThread loop_thread_;
  const ClusterSpec spec_;
  HistoryChecker record_;
  std::string folder_;
  std::unique_ptr<StandInChannel> channel_;
  std::vector<std::unique_ptr<StandInEngine>> engines_;
  std::vector<std::unique_ptr<Relay>> engine_relays_, channel_relays_;
  std::unique_ptr<StandInClients> clients_;
  std::vector<Manager> managers_;
  std::map<std::size_t, std::int64_t> up_since_ms_;  // of the engines that start_anew() started
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Returns a port that was free a moment ago, at a loopback address that depends on the process id and on
// `number`, so that collisions are rare.
std::string free_address(std::size_t number);

// Returns the rules for the site's reservation types: quick and report (restartable), load (keyed, in order),
// once (run once), local (restartable, in the zone "east" only).
HistoryChecker::Kind kind_of(const std::string& type);

}  // namespace pearchute::lab
