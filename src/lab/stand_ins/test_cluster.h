// A whole small site on loopback: a command channel, stand-in engines, managers as processes with their admin
// channels, and a crowd of clients, all but the managers on one loop. It ends what it has started, by id.
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
  std::vector<std::string> zones = {"east", "west"};  // engines and managers in turn
  int cores = 8;
  double memory_mb = 8000;
  std::uint64_t seed = 1;
  std::string pearchuted;  // the programs
  std::string pearchute_agent;
  bool starts_managers = true;                // else agents do
  std::chrono::milliseconds slowest{4000};    // the longest job timeout
  std::chrono::milliseconds sla_time{600};    // of each reservation type
  int sockets = 512, manager_memory_mb = 48;  // what a manager is told that it may have
  bool knows_list = false;                    // the whole list stands in its configuration, too
  int fleet_managers = 0;                     // that the managers know of; 0: those of this site
  ColdRule cold;
  std::chrono::milliseconds order_rest{100};  // of a key after an attempt whose end is not sure
  std::optional<RationTerms> ration;
  bool relayed = false;  // a relay stands before each engine, and two before the channel
  // Of each manager, by its number: what its environment holds beside the laboratory's own.
  std::function<std::vector<std::pair<std::string, std::string>>(std::size_t)> environment;
};

class TestCluster {
 public:
  explicit TestCluster(const ClusterSpec& site);
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  struct Manager {
    std::string name, zone, listen, admin, configuration, admin_file, log;
    pid_t process = -1;
    std::unique_ptr<admin::Caller> caller;
  };
  // The stand-ins live on a loop of their own: they are reached within `on` only.
  template <class What>
  auto on(What what) {
    return loop_thread_.on(std::move(what));
  }
  net::Loop& loop() { return loop_thread_.loop(); }
  HistoryChecker& record() { return record_; }
  StandInChannel& channel() { return *channel_; }
  StandInClients& crowd() { return *crowd_; }
  std::vector<Manager>& managers() { return managers_; }
  std::vector<std::unique_ptr<StandInEngine>>& engines() { return engines_; }
  StandInChannel::Member member(std::size_t engine, const std::string& phase = "active") const;
  // The engine is there again, as one that has just started; the list tells it.
  void start_anew(std::size_t engine);
  std::vector<StandInChannel::Member> members_now() const;
  const std::string& folder() const { return folder_; }
  // Only where they are relayed.
  Relay& engine_relay(std::size_t engine) { return *engine_relays_[engine]; }
  Relay& channel_relay(std::size_t which) { return *channel_relays_[which]; }
  // A fleet file for pearchutectl over the managers, which starts them again as they were started. Its name.
  std::string write_fleet() const;

  void start(std::size_t manager);
  void signal(std::size_t manager, int signal);
  // The exit status once it has ended; -1 while it runs, -2 where a signal ended it.
  int ended(std::size_t manager);
  // A manager with another command channel, from its next reading on.
  void move_channel(std::size_t manager, const std::string& address);

  // Waits until `done`, asked on the loop some two hundred times a second; false where that took too long.
  bool until(const std::function<bool()>& done, std::chrono::milliseconds at_most = std::chrono::seconds(20));
  void rest(std::chrono::milliseconds time);
  HistoryChecker::Verdict verdict() {
    return on([this] { return record_.verdict(); });
  }
  // No job is open any more.
  bool quiet(std::chrono::milliseconds at_most = std::chrono::seconds(10)) {
    return until([this] { return record_.verdict(), record_.open() == 0; }, at_most);
  }
  // A call to a manager, waited for.
  admin::v1::Reply call(std::size_t manager, admin::v1::Call call, admin::CallEnd* end = nullptr);
  admin::v1::Reply order(std::size_t manager, const std::string& subject, bool drains,
                         std::uint64_t generation, const std::string& holder = "lab",
                         const std::string& id = "",
                         std::chrono::milliseconds lease = std::chrono::seconds(60));
  admin::v1::Status status(std::size_t manager);
  bool all_serving(std::uint64_t engines_up);  // waits for it
  void must_serve(
      std::uint64_t engines_up);  // the same; throws TestClusterError with what the managers' logs tell

 private:
  void raise();
  void watch_own_delay(Time due);
  std::string last_line(std::size_t manager) const;  // of its log
  void end_successor(std::size_t manager);
  void write_configuration(std::size_t manager, const std::string& channel);

  net::EventLoopThread loop_thread_;
  const ClusterSpec site_;
  HistoryChecker record_;
  std::string folder_;
  std::unique_ptr<StandInChannel> channel_;
  std::vector<std::unique_ptr<StandInEngine>> engines_;
  std::vector<std::unique_ptr<Relay>> engine_relays_, channel_relays_;
  std::unique_ptr<StandInClients> crowd_;
  std::vector<Manager> managers_;
  std::map<std::size_t, std::int64_t> up_since_ms_;  // of engines that have started late
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A port that was free a moment ago, at a loopback address that few others use; the number sets callers
// apart.
std::string free_address(std::size_t number);

// What the rules hold for the site's reservation types: quick, report (restartable), load (keyed, in order),
// once (run once), local (restartable, in the zone "east" only).
HistoryChecker::Kind kind_of(const std::string& type);

}  // namespace pearchute::lab
