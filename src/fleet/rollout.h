// A rollout as its coordinator sees it: claims taken in one order, all or none; instances stepped within the
// limits; a gate between batches; pause, resume, abort, and the way back. It decides what is asked of which
// agent next, and knows no agent, socket, file or clock. Each step on an instance is its own agent's; the
// coordinator may vanish at any point, and what it began ends by the owners' leases and fallbacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/instance_lifecycle.h"
#include "fleet/time.h"

namespace pearchute::fleet {

struct Target {
  std::string instance, agent, zone;
};

struct RolloutPlan {
  std::string id, who;
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;
  int version = 0, version_before = 0;  // of a change, and of the way back
  std::vector<Target> targets;          // stepped in this order, as the limits allow
  int max_concurrent = 1;
  int batch = 0;                           // instances between two gates; 0: no gate
  std::map<std::string, int> min_serving;  // by zone; one that is not named: none
  Duration warm{};                         // one that came back counts as serving after this
  Duration gate{};                         // how long service is looked at between batches
  double margin = 0.02;                    // how far the share done on time may fall
  int failures = 0;                        // that are borne before the rollout stops
  bool reverts = false;                    // a change that fails more often goes back by itself
  bool take_over = false;
  Duration lease_duration = std::chrono::seconds(30);
  Duration drain_within = std::chrono::seconds(30), up_within = std::chrono::seconds(30);
};

class Rollout {
 public:
  enum class State {
    planned,
    acquiring_leases,
    running,
    gate,      // a batch is through; service is looked at
    paused,    // nothing new is begun
    aborting,  // what has begun is waited for
    done,
    aborted,
    failed,  // stopped by its own rules; the word says which
  };
  enum class Stage { waiting, requested, warming, done, failed, unknown };

  class Host {
   public:
    virtual ~Host() = default;
    // To be written before anything else happens; false where that fails.
    virtual bool persist(State state) = 0;
    virtual void request_leases(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void renew(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void release(const std::string& agent) = 0;
    virtual void step(const std::string& agent, const std::string& instance, const Step& step) = 0;
    virtual void request_fleet_status() = 0;  // answered by seen() for each instance, and by service()
    virtual void on_event(std::string_view what) = 0;
  };

  Rollout(Host& host, RolloutPlan plan);
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  void begin(TimePoint now);
  // `sent` is when the ask or the renewal left here: the lease_duration counts from then, so that this side
  // gives a claim up no later than its owner does.
  void on_lease_response(TimePoint now, TimePoint sent, const std::string& agent, bool granted,
                         const std::map<std::string, std::uint64_t>& fences, const std::string& holder);
  void renewed(TimePoint now, TimePoint sent, const std::string& agent, bool live);
  void on_step_response(TimePoint now, const std::string& instance, bool accepted, const std::string& fault);
  void step_ended(TimePoint now, const std::string& instance, const Step& step, StepEnd end,
                  const std::string& detail);
  // Of all instances of the fleet, whether targets or not.
  void on_instance_state(TimePoint now, const std::string& instance, const std::string& zone,
                         InstanceState condition);
  void on_service_level(TimePoint now, double share_done);
  void pause(TimePoint now);
  void resume(TimePoint now);
  void abort(TimePoint now);
  void roll_back(TimePoint now);  // what was changed goes back to the version before
  void on_timer(TimePoint now);   // some five times a second
  // From the disk, after its coordinator's own end: paused, with no claim; what has become of each is asked.
  void restore(TimePoint now, const std::map<std::string, Stage>& stages);

  State state() const { return state_; }
  const std::string& detail() const { return detail_; }
  const RolloutPlan& plan() const { return plan_; }
  std::map<std::string, Stage> stages() const;
  std::map<std::string, std::string> details() const;
  bool over() const;
  bool rolling_back() const { return rolling_back_; }
  // Until when claims at that agent are gone by here; nothing where there are none.
  std::optional<TimePoint> lease_until(const std::string& agent) const {
    const auto at = agents_.find(agent);
    if (at == agents_.end() || !at->second.granted) return std::nullopt;
    return at->second.lease_until;
  }

 private:
  struct TargetState {
    Target target;
    Stage stage = Stage::waiting;
    std::uint64_t fence = 0;
    int version = 0;  // of the step that was last asked for
    TimePoint requested{}, warm_at{};
    std::string detail;
  };
  struct Agent {
    std::vector<std::string> instances;
    bool granted = false, lost = false;
    TimePoint lease_until{}, renew_at{};
  };
  struct InstanceStatus {
    std::string zone;
    InstanceState condition = InstanceState::unseen;
    TimePoint at{}, serving_since{};
    bool serving = false;
  };
  void enter(State state, std::string detail);
  void request_next_lease(TimePoint now);
  void step_next(TimePoint now);
  bool may_step(TimePoint now, const TargetState& one) const;
  int serving_in(TimePoint now, const std::string& zone) const;
  int steps_in_progress() const;
  void evaluate(TimePoint now);
  void continue_under_leases(TimePoint now, State state, const std::string& detail);
  void end(State state, const std::string& detail);
  TargetState* find(const std::string& instance);

  Host& host_;
  RolloutPlan plan_;
  State state_ = State::planned, resumed_to_ = State::running;
  std::string detail_;
  std::vector<TargetState> targets_;
  std::map<std::string, Agent> agents_;  // in the one order in which claims are taken
  std::map<std::string, InstanceStatus> statuses_;
  std::string pending_agent_;
  int failed_steps_ = 0, started_since_gate_ = 0;
  bool rolling_back_ = false;
  std::optional<double> baseline_success_share_, success_share_;
  TimePoint gate_until_{}, fleet_status_requested_at_{-1'000'000'000}, lease_response_deadline_{};
};

bool is_over(Rollout::State state);
std::string_view name_of(Rollout::State state);
std::string_view name_of(Rollout::Stage stage);

}  // namespace pearchute::fleet
