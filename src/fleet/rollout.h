// The coordinator's side of a rollout: takes leases on its targets, steps them within the plan's limits, and
// checks the fleet's success share at a gate between batches.
//
// Protocol: the leases of all agents concerned are acquired first, one agent after the other in the order of
// their names, so that two rollouts can't deadlock; where one agent refuses, all are released. Under live
// leases the targets are stepped in the plan's order. Each step is carried out by the agent that owns the
// instance; the coordinator may vanish at any point, and what it began ends by the owners' leases and
// fallbacks.
//
// Not thread-safe. It reads no clock and does no I/O: times are the caller's steady clock, messages go
// through the Host.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/instance_lifecycle.h"
#include "fleet/rollout_plan.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// One rollout, from its plan to its end.
class Rollout {
 public:
  // Persisted by number: new values go to the end.
  enum class State {
    planned,
    acquiring_leases,
    running,
    gate,      // a batch has ended; the success share is observed
    paused,    // no step is started
    aborting,  // no step is started; those in progress are awaited
    done,
    aborted,
    failed,  // stopped by its own rules; detail() says which
  };
  // Of one target. Persisted by number: new values go to the end.
  enum class Stage {
    waiting,
    requested,  // its step is in progress
    warming,    // it serves, but not for long enough
    done,
    failed,
    unknown,  // how its step ended is not known
  };

  // Carries out what is decided. Must outlive the Rollout.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists this state and the stages. Returns false where that fails.
    virtual bool persist(State state) = 0;
    virtual void request_leases(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void renew(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void release(const std::string& agent) = 0;
    virtual void step(const std::string& agent, const std::string& instance, const Step& step) = 0;
    // Answered by on_instance_state() for each instance of the fleet, and by on_service_level().
    virtual void request_fleet_status() = 0;
    virtual void on_event(std::string_view what) = 0;  // for the log
  };

  Rollout(Host& host, RolloutPlan plan);
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  // Starts a planned rollout.
  void begin(TimePoint now);
  // Takes up a rollout after its coordinator's restart: paused and without leases. What became of steps that
  // were in progress is unknown until their agents report it.
  void restore(TimePoint now, const std::map<std::string, Stage>& stages);
  // Call about five times a second.
  void on_timer(TimePoint now);

  // `sent` is when the request left: the lease is counted from then, so that this side gives it up no later
  // than the agent that granted it. `holder` says who holds what, where the request was refused.
  void on_lease_response(TimePoint now, TimePoint sent, const std::string& agent, bool granted,
                         const std::map<std::string, std::uint64_t>& fences, const std::string& holder);
  void on_renewal_response(TimePoint now, TimePoint sent, const std::string& agent, bool live);
  void on_step_response(TimePoint now, const std::string& instance, bool accepted, const std::string& fault);
  void on_step_ended(TimePoint now, const std::string& instance, const Step& step, StepEnd end,
                     const std::string& detail);
  // The state of any instance of the fleet, a target or not.
  void on_instance_state(TimePoint now, const std::string& instance, const std::string& zone,
                         InstanceState state);
  // The share of the fleet's requests that succeed, 0 to 1.
  void on_service_level(TimePoint now, double success_share);

  // Operators' commands. One that does not apply in the present state is ignored.
  void pause(TimePoint now);
  void resume(TimePoint now);
  void abort(TimePoint now);
  // Only of a change: steps what has been changed back to the version before.
  void roll_back(TimePoint now);

  State state() const { return state_; }
  const std::string& detail() const { return detail_; }  // why it is in this state, for operators
  const RolloutPlan& plan() const { return plan_; }
  std::map<std::string, Stage> stages() const;         // by instance
  std::map<std::string, std::string> details() const;  // for operators, by instance
  bool over() const;
  bool rolling_back() const { return rolling_back_; }
  // Until when the leases of that agent hold as counted here; none where there are none.
  std::optional<TimePoint> lease_until(const std::string& agent) const;

 private:
  // A target, and how its step goes.
  struct TargetState : Target {
    Stage stage = Stage::waiting;
    std::uint64_t fence = 0;
    int version = 0;  // of the step that was requested last
    TimePoint requested_at{}, warm_at{};
    std::string detail;
    void set(Stage next, std::string why);
    bool in_progress() const { return stage == Stage::requested || stage == Stage::warming; }
  };
  // The leases of one agent's targets.
  struct AgentLeases {
    std::vector<std::string> instances;
    bool granted = false;
    TimePoint until{}, renew_at{};
  };
  // The last report on an instance of the fleet.
  struct InstanceStatus {
    std::string zone;
    InstanceState state = InstanceState::unseen;
    TimePoint reported_at{}, serving_since{};
    bool serving() const { return state == InstanceState::serving; }
  };

  void enter(State state, std::string detail);
  void end(State state, const std::string& detail);
  void evaluate(TimePoint now);
  void evaluate_gate(TimePoint now);
  bool enter_gate_if_due(TimePoint now);
  TargetState* find(const std::string& instance);
  bool any_in(Stage stage) const;

  // Leases: rollout_leases.cpp
  void request_next_lease(TimePoint now);
  void continue_under_leases(TimePoint now, State state, const std::string& detail);
  void renew_or_expire_leases(TimePoint now);
  void on_lease_expired(const std::string& name, AgentLeases& agent);
  static bool has_usable_leases(TimePoint now, const AgentLeases& agent);

  // Steps and their limits: rollout_steps.cpp
  void start_due_steps(TimePoint now);
  bool start_step(TimePoint now, TargetState& target);
  bool may_start(TimePoint now, const TargetState& target) const;
  void update_steps_in_progress(TimePoint now);
  int serving_in(TimePoint now, const std::string& zone) const;
  int steps_in_progress() const;

  Host& host_;
  const RolloutPlan plan_;
  State state_ = State::planned;
  State state_before_pause_ = State::running;
  std::string detail_;
  std::vector<TargetState> targets_;
  std::map<std::string, AgentLeases> agents_;  // by name: the order in which leases are acquired
  std::map<std::string, InstanceStatus> statuses_;
  std::string pending_agent_;  // whose lease response is awaited
  TimePoint lease_response_deadline_{};
  int failed_steps_ = 0, started_since_gate_ = 0;
  bool rolling_back_ = false;
  std::optional<double> baseline_success_share_, success_share_;
  TimePoint gate_until_{};
  std::optional<TimePoint> fleet_status_requested_at_;
};

// Whether a rollout in this state has ended.
bool is_over(Rollout::State state);
// Names for operators and messages.
std::string_view name_of(Rollout::State state);
std::string_view name_of(Rollout::Stage stage);

}  // namespace pearchute::fleet
