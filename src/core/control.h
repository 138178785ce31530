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

class Host {
 public:
  virtual ~Host() = default;
  virtual void dispatch(JobId job, EngineId engine, Span time_limit) = 0;  // a limit of 0: the job timeout
  virtual void set_terms(JobId job, double grant_mb, int priority) = 0;    // a grant of 0: the engine chooses
  // The next dispatch of this job is a repeat that its engine knows for so long: what has not left by then
  // ends as unreachable. Nothing to do where dispatches leave at once.
  virtual void must_leave_within(JobId, Span) {}
  virtual void stop_dispatch(JobId job, int number) = 0;
  // Told just before `throttle` or `cancel_for_good`.
  virtual void giving_up(JobId, GiveUpReason) {}
  virtual void throttle(JobId job, Span come_back_in) = 0;
  virtual void cancel_for_good(JobId id) = 0;
  virtual void wake_in(Span span, std::uint64_t mark) = 0;
  virtual void probe(EngineId engine) = 0;
  virtual void subscribe_list() = 0;
  virtual void remark(std::string_view text) = 0;
};

// One method for each thing that can happen; `now` never goes back. Dispatches of a job count from 0.
class WorkloadManager {
 public:
  WorkloadManager(const ServiceDefinition& service, std::uint64_t seed, Host& host);
  WorkloadManager(const WorkloadManager&) = delete;
  WorkloadManager& operator=(const WorkloadManager&) = delete;

  void list_came(Span now, ListNews news, const std::vector<ListedEngine>& engines);
  void list_refused(Span now);
  void job_taken(Span now, const Job& job);
  void job_withdrawn(Span now, JobId id);
  // Nobody is there for it, and somebody may come again: nothing of it leaves meanwhile.
  void caller_left(Span now, JobId id);
  void caller_came(Span now, JobId id);
  void stream_started(Span now, JobId job, int number);
  void progress_told(Span now, JobId id, int number, double share_done);
  void spill_told(Span now, JobId id, int number, double missing_mb);
  void wait_told(Span now, JobId id, int number, Wait wait);
  // `work_ms` and `memory_mb` are what the job needed, where answers tell.
  void dispatch_ended(Span now, JobId id, int number, Outcome outcome, Span elapsed, bool job_finished,
                      std::optional<double> work_ms, std::optional<double> memory_mb, const LoadReport& load);
  void probe_ended(Span now, EngineId engine, Outcome outcome, Span elapsed, const LoadReport& load);
  void woken(Span now, std::uint64_t mark);
  void closing(Span now);

  // What it believes, for those who ask. Asking changes no decision.
  struct Belief {
    double slots = 0, capacity_mb = 0;
    bool is_cold = false;
  };
  template <class Visit>
  void tell_engines(Span now, Visit visit) const {
    for (const auto& [id, engine] : engines_)
      visit(engine, Belief{slots(now, engine), capacity(engine), cold(now, engine)});
  }
  // What a held job waits for.
  enum class Waits { nothing, its_turn, rest, ration, room };
  Waits waits_for(Span now, JobId id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end() || !at->second.held) return Waits::nothing;
    const HeldJob& held = at->second;
    if (held.job.key && type_of(held).in_order) {
      const auto line = lines_.find(*held.job.key);
      if (line != lines_.end() && !line->second.jobs.empty() && line->second.jobs.front() != id)
        return Waits::its_turn;
      if (line != lines_.end() && held.dispatches.empty() && now < line->second.rests_until)
        return Waits::rest;
    }
    return held.dispatches.empty() || within_ration(now) ? Waits::room : Waits::ration;
  }
  std::size_t held_jobs() const { return held_.size(); }
  // What a job of that type usually needs, as time on one thread.
  double largest_usual_work_ms() const {
    double largest = 0;
    for (const TypeFigures& type : types_) largest = std::max(largest, usual_work(type));
    return largest;
  }
  double usual_work_ms(TypeId type) const { return usual_work(types_[static_cast<std::size_t>(type.value)]); }

 private:
  enum : std::uint64_t { beat_mark = 1, subscribe_mark = 2, job_marks = 16 };

  void heard(Span now, JobId id, int number);
  Dispatch* find(JobId id, int number) {  // only while it is out: nothing else may be told of
    const auto it = jobs_.find(id);
    const bool known = it != jobs_.end() && number < static_cast<int>(it->second.dispatches.size());
    return known && it->second.dispatches[number].out ? &it->second.dispatches[number] : nullptr;
  }
  const ReservationType& type_of(const HeldJob& held) const { return types_[held.job.type.value].type; }
  MachineKind kind_of(const Engine& engine) const {
    return engine.listed.kind.value >= 0 ? kinds_[engine.listed.kind.value] : MachineKind{};
  }
  bool tiny(const HeldJob& held) const;
  bool data_held(Span now, const Engine& engine, DataSetId data_set) const;
  // No dispatch may begin for as long as its client is away, whatever else would allow it.
  bool may_begin(const HeldJob& held) const {
    return static_cast<int>(held.dispatches.size()) < rules_.most_dispatches && !held.away_since;
  }
  bool spent(Span now, const HeldJob& held) const;
  static void let_go(Engine& engine, Span until);
  // Rules
  bool may_throttle(Span now, const HeldJob& held) const;
  bool may_go(Span now, const HeldJob& held);
  bool may_go_to(Span now, const HeldJob& held, const Engine& engine) const;
  bool within_ration(Span now);
  void doubt_starts(Span now, const std::vector<ListedEngine>& engines);
  bool cold(Span now, const Engine& engine) const;
  bool cold_allows(Span now, const Engine& engine, const HeldJob& held) const;
  std::optional<std::uint64_t> own_turn(Span now, const Engine& engine, int a_window, Span lasts) const;
  double cold_budget(const Engine& engine) const;
  bool by_turns(Span now, const Engine& engine) const;
  double cold_work(const HeldJob& held) const;
  void over(HeldJob& held);
  void forget_if_done(JobId id);
  // The ordinary path
  void place_newcomer(Span now, HeldJob& newcomer);
  void release(Span now);
  bool place(Span now, HeldJob& held);
  void send(Span now, HeldJob& held, Engine& engine, double grant, bool home);
  double capacity(const Engine& engine) const;
  double slots(Span now, const Engine& engine) const;
  bool pooled(const Engine& engine) const { return engine.even_slots < largest_threads_; }
  double pool_room(Span now, double part) const;
  std::optional<double> grant_on(Span now, const Engine& engine, const HeldJob& held) const;
  double ideal_ms(const HeldJob& held) const;
  double need_mb(const HeldJob& held) const;
  int priority(const HeldJob& held) const;
  double density(const HeldJob& held) const;
  // Health
  bool slow() const;
  void sign_of_trouble(Span now, Engine& engine, Trouble why);
  void compare(const Engine& engine, const Dispatch& dispatch, double sample, double part);
  void learn(Engine& engine, const HeldJob& held, const Dispatch& dispatch, Span elapsed);
  void look_after(Span now, Engine& engine);
  void heed(Span now, Engine& engine, const LoadReport& load);
  double weight(const HeldJob& held) const;
  double usual_work(const TypeFigures& type) const;
  double usual_work(const HeldJob& held) const { return usual_work(types_[held.job.type.value]); }
  // Ten times a second
  void beat(Span now);
  void note_beat(Span now);
  void fade_figures();
  void forget_what_is_over(Span now);
  void look_at_engine(Span now, Engine& engine);
  void learn_from_open(Span now, Engine& engine, Span sent, std::pair<JobId, int> which);
  void probe_in_turn();
  void move_cut(Span now);
  void give_up_the_late(Span now);
  // Giving up
  bool crammed() const;
  void give_up(Span now, HeldJob& held, GiveUpReason reason);

  Host& host_;
  std::knuth_b chance_;
  std::vector<TypeFigures> types_;
  ServiceDefinition rules_;                               // figures only: its lists are emptied once read
  std::vector<double> customer_portion_, customer_rate_;  // jobs a second, a smoothed count
  std::vector<MachineKind> kinds_;
  double share_ = 1;
  int largest_threads_ = 1;
  double most_memory_ = 1;
  double pool_fall_ = 1;  // what a crowded pool's slots keep at each beat
  Pace fleet_;
  Paces paces_;
  double fleet_live_ = 0, fleet_even_ = 1e-9;  // threads, over all open engines
  Span spare_end_{};                           // how long before the client's end a final answer is sent
  std::map<EngineId, Engine> engines_;
  std::unordered_map<JobId, HeldJob> jobs_;
  std::map<std::uint64_t, JobId> held_;   // by order of arrival
  std::map<std::uint64_t, JobId> turns_;  // every job not forgotten, for wake marks
  std::map<OrderKey, OrderLine> lines_;
  std::deque<Span> taken_, resent_;
  std::uint64_t next_turn_ = job_marks;
  Span subscribe_wait_;
  double cut_;            // most work for a unit of billed value that is taken on
  double largest_ = 0;    // recent largest of the same
  double mean_cost_ = 0;  // work for a unit of billed value, over all jobs taken
  double work_taken_ = 0, value_taken_ = 0;
  Span beat_due_{};     // of the next beat
  int beats_late_ = 0;  // of late, less those in time
  Mean mean_work_ms_;
  double job_rate_ = 0;  // jobs a second, smoothed
  double probes_due_ = 0;
  double rescues_due_ = 0;
  EngineId last_probed_{};
  std::map<DataSetId, double> data_sets_;  // jobs taken on each, smoothed
  double data_sets_drawn_ = 0;
};

}  // namespace pearchute
