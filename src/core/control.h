// The workload manager's interface, and the host through which it acts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/state.h"
#include "core/types.h"

namespace pearchute {

class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  virtual void dispatch(RequestId job, EngineId engine,
                        Duration time_limit) = 0;  // a limit of 0: the job timeout
  virtual void set_execution_terms(RequestId job, double grant_mb,
                                   int priority) = 0;  // a grant of 0: the engine chooses
  // The next dispatch of this job is a repeat that its engine knows for so long: what has not left by then
  // ends as unreachable. Nothing to do where dispatches leave at once.
  virtual void limit_send_delay(RequestId, Duration) {}
  virtual void cancel_attempt(RequestId job, int number) = 0;
  // Told just before `throttle` or `fail`.
  virtual void on_rejection(RequestId, RejectionReason) {}
  virtual void throttle(RequestId job, Duration come_back_in) = 0;
  virtual void fail(RequestId id) = 0;
  virtual void schedule_wakeup(Duration span, std::uint64_t mark) = 0;
  virtual void probe(EngineId engine) = 0;
  virtual void subscribe_endpoints() = 0;
  virtual void trace_event(std::string_view text) = 0;
};

// One method for each thing that can happen; `now` never goes back. Dispatches of a job count from 0.
class WorkloadManager {
 public:
  WorkloadManager(const ServiceDefinition& service, std::uint64_t seed, DecisionSink& host);
  WorkloadManager(const WorkloadManager&) = delete;
  WorkloadManager& operator=(const WorkloadManager&) = delete;

  void on_endpoint_update(TimePoint now, EndpointUpdate news, const std::vector<EngineEndpoint>& engines);
  void on_endpoints_refused(TimePoint now);
  void on_request(TimePoint now, const Request& job);
  void on_request_cancelled(TimePoint now, RequestId id);
  // Nobody is there for it, and somebody may come again: nothing of it leaves meanwhile.
  void on_client_disconnected(TimePoint now, RequestId id);
  void on_client_reconnected(TimePoint now, RequestId id);
  void on_stream_started(TimePoint now, RequestId job, int number);
  void on_progress(TimePoint now, RequestId id, int number, double share_done);
  void on_spill(TimePoint now, RequestId id, int number, double missing_mb);
  void on_engine_wait(TimePoint now, RequestId id, int number, WaitCause wait);
  // `work_ms` and `memory_mb` are what the job needed, where answers tell.
  void on_attempt_ended(TimePoint now, RequestId id, int number, Outcome outcome, Duration elapsed,
                        bool job_finished, std::optional<double> work_ms, std::optional<double> memory_mb,
                        const LoadReport& load);
  void on_probe_ended(TimePoint now, EngineId engine, Outcome outcome, Duration elapsed,
                      const LoadReport& load);
  void on_wakeup(TimePoint now, std::uint64_t mark);
  void closing(TimePoint now);

  // What it believes, for those who ask. Asking changes no decision.
  struct EngineEstimate {
    double slots = 0, capacity_mb = 0;
    bool is_cold = false;
  };
  template <class Visit>
  void tell_engines(TimePoint now, Visit visit) const {
    for (const auto& [id, engine] : engines_)
      visit(engine, EngineEstimate{slots(now, engine), capacity(engine), cold(now, engine)});
  }
  // What a held job waits for.
  enum class QueuedFor { not_queued, key_order, key_quiet_period, retry_budget, capacity };
  QueuedFor queued_for(TimePoint now, RequestId id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end() || !at->second.held) return QueuedFor::not_queued;
    const QueuedRequest& held = at->second;
    if (held.job.key && type_of(held).ordered_by_key) {
      const auto line = lines_.find(*held.job.key);
      if (line != lines_.end() && !line->second.jobs.empty() && line->second.jobs.front() != id)
        return QueuedFor::key_order;
      if (line != lines_.end() && held.dispatches.empty() && now < line->second.rests_until)
        return QueuedFor::key_quiet_period;
    }
    return held.dispatches.empty() || within_ration(now) ? QueuedFor::capacity : QueuedFor::retry_budget;
  }
  std::size_t queued_requests() const { return held_.size(); }
  // What a job of that type usually needs, as time on one thread.
  double largest_typical_work_ms() const {
    double largest = 0;
    for (const TypeFigures& type : types_) largest = std::max(largest, usual_work(type));
    return largest;
  }
  double typical_work_ms(RequestTypeId type) const {
    return usual_work(types_[static_cast<std::size_t>(type.value)]);
  }

 private:
  enum : std::uint64_t { beat_mark = 1, subscribe_mark = 2, job_marks = 16 };

  void heard(TimePoint now, RequestId id, int number);
  Attempt* find(RequestId id, int number) {  // only while it is out: nothing else may be told of
    const auto it = jobs_.find(id);
    const bool known = it != jobs_.end() && number < static_cast<int>(it->second.dispatches.size());
    return known && it->second.dispatches[number].out ? &it->second.dispatches[number] : nullptr;
  }
  const RequestType& type_of(const QueuedRequest& held) const { return types_[held.job.type.value].type; }
  MachineKind kind_of(const Engine& engine) const {
    return engine.listed.kind.value >= 0 ? kinds_[engine.listed.kind.value] : MachineKind{};
  }
  bool tiny(const QueuedRequest& held) const;
  bool data_held(TimePoint now, const Engine& engine, DataSetId data_set) const;
  // No dispatch may begin for as long as its client is away, whatever else would allow it.
  bool may_begin(const QueuedRequest& held) const {
    return static_cast<int>(held.dispatches.size()) < rules_.max_attempts && !held.away_since;
  }
  bool spent(TimePoint now, const QueuedRequest& held) const;
  static void let_go(Engine& engine, TimePoint until);
  // Rules
  bool may_throttle(TimePoint now, const QueuedRequest& held) const;
  bool may_go(TimePoint now, const QueuedRequest& held);
  bool may_go_to(TimePoint now, const QueuedRequest& held, const Engine& engine) const;
  bool within_ration(TimePoint now);
  void doubt_starts(TimePoint now, const std::vector<EngineEndpoint>& engines);
  bool cold(TimePoint now, const Engine& engine) const;
  bool cold_allows(TimePoint now, const Engine& engine, const QueuedRequest& held) const;
  std::optional<std::uint64_t> own_turn(TimePoint now, const Engine& engine, int a_window,
                                        Duration lasts) const;
  double cold_budget(const Engine& engine) const;
  bool by_turns(TimePoint now, const Engine& engine) const;
  double cold_work(const QueuedRequest& held) const;
  void over(QueuedRequest& held);
  void forget_if_done(RequestId id);
  // The ordinary path
  void place_newcomer(TimePoint now, QueuedRequest& newcomer);
  void release(TimePoint now);
  bool place(TimePoint now, QueuedRequest& held);
  void send(TimePoint now, QueuedRequest& held, Engine& engine, double grant, bool home);
  double capacity(const Engine& engine) const;
  double slots(TimePoint now, const Engine& engine) const;
  bool pooled(const Engine& engine) const { return engine.even_slots < largest_threads_; }
  double pool_room(TimePoint now, double part) const;
  std::optional<double> grant_on(TimePoint now, const Engine& engine, const QueuedRequest& held) const;
  double ideal_ms(const QueuedRequest& held) const;
  double need_mb(const QueuedRequest& held) const;
  int priority(const QueuedRequest& held) const;
  double density(const QueuedRequest& held) const;
  // Health
  bool slow() const;
  void sign_of_trouble(TimePoint now, Engine& engine, Trouble why);
  void compare(const Engine& engine, const Attempt& dispatch, double sample, double part);
  void learn(Engine& engine, const QueuedRequest& held, const Attempt& dispatch, Duration elapsed);
  void look_after(TimePoint now, Engine& engine);
  void heed(TimePoint now, Engine& engine, const LoadReport& load);
  double weight(const QueuedRequest& held) const;
  double usual_work(const TypeFigures& type) const;
  double usual_work(const QueuedRequest& held) const { return usual_work(types_[held.job.type.value]); }
  // Ten times a second
  void beat(TimePoint now);
  void note_beat(TimePoint now);
  void fade_figures();
  void forget_what_is_over(TimePoint now);
  void look_at_engine(TimePoint now, Engine& engine);
  void learn_from_open(TimePoint now, Engine& engine, TimePoint sent, std::pair<RequestId, int> which);
  void probe_in_turn();
  void move_cut(TimePoint now);
  void give_up_the_late(TimePoint now);
  // Giving up
  bool crammed() const;
  void give_up(TimePoint now, QueuedRequest& held, RejectionReason reason);

  DecisionSink& host_;
  std::knuth_b chance_;
  std::vector<TypeFigures> types_;
  ServiceDefinition rules_;                         // figures only: its lists are emptied once read
  std::vector<double> tenant_share_, tenant_rate_;  // jobs a second, a smoothed count
  std::vector<MachineKind> kinds_;
  double share_ = 1;
  int largest_threads_ = 1;
  double most_memory_ = 1;
  double pool_fall_ = 1;  // what a crowded pool's slots keep at each beat
  Pace fleet_;
  Paces paces_;
  double fleet_live_ = 0, fleet_even_ = 1e-9;  // threads, over all open engines
  Duration spare_end_{};                       // how long before the client's end a final answer is sent
  std::map<EngineId, Engine> engines_;
  std::unordered_map<RequestId, QueuedRequest> jobs_;
  std::map<std::uint64_t, RequestId> held_;   // by order of arrival
  std::map<std::uint64_t, RequestId> turns_;  // every job not forgotten, for wake marks
  std::map<OrderKey, OrderLine> lines_;
  std::deque<TimePoint> taken_, resent_;
  std::uint64_t next_turn_ = job_marks;
  Duration subscribe_wait_;
  double cut_;            // most work for a unit of billed value that is taken on
  double largest_ = 0;    // recent largest of the same
  double mean_cost_ = 0;  // work for a unit of billed value, over all jobs taken
  double work_taken_ = 0, value_taken_ = 0;
  TimePoint beat_due_{};  // of the next beat
  int beats_late_ = 0;    // of late, less those in time
  Mean mean_work_ms_;
  double job_rate_ = 0;  // jobs a second, smoothed
  double probes_due_ = 0;
  double rescues_due_ = 0;
  EngineId last_probed_{};
  std::map<DataSetId, double> data_sets_;  // jobs taken on each, smoothed
  double data_sets_drawn_ = 0;
};

}  // namespace pearchute
