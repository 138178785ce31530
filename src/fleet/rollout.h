// The coordinator's side of a rollout. The coordinator acquires leases on the targets, steps them within the
// plan's limits, and checks the share of successful requests in the fleet at a gate between batches.
//
// Protocol: the coordinator first acquires the leases of all agents that own targets, one agent after the
// other in the order of their names, so that two rollouts can't deadlock. If one agent refuses, all leases
// are released. Under live leases the targets are stepped in the plan's order. The agent that owns an
// instance carries out its step. The coordinator may fail at any point: the steps that it began then end by
// the owners' leases and fallbacks.
//
// Not thread-safe. The class reads no clock and does no I/O: times are the caller's steady clock, messages go
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
  // Persisted by number: add new values at the end.
  enum class State {
    planned,
    acquiring_leases,
    running,
    gate,      // a batch has ended; the share of successful requests is observed
    paused,    // no step is started
    aborting,  // no step is started; those in progress are awaited
    done,
    aborted,
    failed,  // stopped by a rule of the rollout; detail() names the reason
  };
  // The progress of one target. Persisted by number: add new values at the end.
  enum class Stage {
    waiting,
    requested,  // the target's step is in progress
    warming,    // the target serves, but for less than the plan's `warm`
    done,
    failed,
    unknown,  // the outcome of the target's step is unknown
  };

  // Carries out the decisions. Must outlive the Rollout.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists this state and the stages. Returns false on failure.
    virtual bool persist(State state) = 0;
    virtual void request_leases(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void renew(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void release(const std::string& agent) = 0;
    virtual void step(const std::string& agent, const std::string& instance, const Step& step) = 0;
    // Answered by on_instance_state() for each instance of the fleet, and by on_service_level().
    virtual void request_fleet_status() = 0;
    virtual void on_event(std::string_view event) = 0;  // for the log
  };

  Rollout(Host& host, RolloutPlan plan);
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  // Starts a planned rollout.
  void begin(TimePoint now);
  // Takes up a rollout after the coordinator's restart, paused and without leases. The outcome of steps that
  // were in progress is unknown until their agents report it.
  void restore(TimePoint now, const std::map<std::string, Stage>& stages);
  // Does what is due by the clock: renews leases, evaluates the gate and starts steps. Call about five times
  // a second.
  void on_timer(TimePoint now);

  // `sent` is the time at which the request was sent. The lease is counted from then, so that the coordinator
  // gives it up no later than the agent that granted it. `holder` describes the leases for which a request
  // was refused.
  void on_lease_response(TimePoint now, TimePoint sent, const std::string& agent, bool granted,
                         const std::map<std::string, std::uint64_t>& fences, const std::string& holder);
  void on_renewal_response(TimePoint now, TimePoint sent, const std::string& agent, bool live);
  void on_step_response(TimePoint now, const std::string& instance, bool accepted, const std::string& fault);
  void on_step_ended(TimePoint now, const std::string& instance, const Step& step, StepEnd end,
                     const std::string& detail);
  // Handles a report on any instance of the fleet, a target or not.
  void on_instance_state(TimePoint now, const std::string& instance, const std::string& zone,
                         InstanceState state);
  // Handles a report on the share of the fleet's requests that succeed, 0 to 1.
  void on_service_level(TimePoint now, double success_share);

  // Operators' commands. A command that does not apply in the present state is ignored.
  void pause(TimePoint now);
  void resume(TimePoint now);
  void abort(TimePoint now);
  // Steps the changed targets back to the version before the rollout. Applies to a change only.
  void roll_back(TimePoint now);

  State state() const { return state_; }
  const std::string& detail() const { return detail_; }  // reason for the present state, for operators
  const RolloutPlan& plan() const { return plan_; }
  std::map<std::string, Stage> stages() const;         // by instance
  std::map<std::string, std::string> details() const;  // for operators, by instance
  bool over() const;
  bool rolling_back() const { return rolling_back_; }
  // Returns the end of the agent's leases by the coordinator's count; none if it has granted none.
  std::optional<TimePoint> lease_until(const std::string& agent) const;

 private:
  // A target with the progress of its step.
  struct TargetState : Target {
    Stage stage = Stage::waiting;
    std::uint64_t fence = 0;
    int version = 0;  // the command version of the last requested step
    TimePoint requested_at{}, warm_at{};
    std::string detail;
    void set(Stage next, std::string reason);
    bool in_progress() const { return stage == Stage::requested || stage == Stage::warming; }
  };
  // The leases on one agent's targets.
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
  std::string pending_agent_;  // the agent whose lease response is awaited
  TimePoint lease_response_deadline_{};
  int failed_steps_ = 0, started_since_gate_ = 0;
  bool rolling_back_ = false;
  std::optional<double> baseline_success_share_, success_share_;
  TimePoint gate_until_{};
  std::optional<TimePoint> fleet_status_requested_at_;
};

// Returns whether a rollout in this state has ended.
bool is_over(Rollout::State state);
// Return the names that messages and operators' output use.
std::string_view name_of(Rollout::State state);
std::string_view name_of(Rollout::Stage stage);

}  // namespace pearchute::fleet
