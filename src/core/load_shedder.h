// Load shedding: decides which requests are not admitted because the engines, or this manager's own processor
// core, cannot serve all of them. The cost of a request is the engine time that it needs per unit of priority
// weight (1 / value density); the requests with the highest cost are shed first.
#pragma once

#include <vector>

#include "core/request_state.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Maintains request rates, mean costs and the cost threshold above which requests are shed.
class LoadShedder {
 public:
  // `service` is used only by the constructor; `work` must outlive the shedder.
  LoadShedder(const ServiceDefinition& service, const WorkModel& work);

  // A request has arrived. Returns its cost in ms of work per unit of priority weight.
  double on_request(const RequestState& state);
  // Whether the newly arrived request is shed. `is_small`: its estimate is small for its type, which exempts
  // it while engines are overloaded, so that a type with a high cost is not shed entirely.
  bool sheds(double cost, bool is_small) const;

  // The periodic tick is delivered. Repeated late ticks show that this manager's own core is overloaded.
  // `lateness_bound`: a tick with a greater delay counts as late.
  void on_tick(TimePoint now, Duration lateness_bound);
  // Decays rates and sums; called once per tick.
  void decay();
  // Adjusts the cost threshold; called once per tick. `is_queue_delayed`: a request that may start has been
  // queued for longer than `queue_delay_bound`.
  void adjust_threshold(bool is_queue_delayed);
  static constexpr Duration queue_delay_bound = std::chrono::milliseconds(100);

  double requests_per_second() const { return requests_per_second_; }

 private:
  double value_density(const RequestState& state) const;

  const WorkModel& work_;
  double over_quota_weight_;
  std::vector<double> tenant_shares_;            // of the sum of all quotas, 0 .. 1
  std::vector<double> tenant_rates_per_second_;  // smoothed
  double requests_per_second_ = 0;               // smoothed
  double threshold_;                             // the maximum cost that is admitted
  double max_recent_cost_ = 0;                   // decays towards the mean
  double mean_cost_ = 0;
  double recent_work_ms_ = 0;  // decayed sum over all arrivals, including shed ones
  double recent_weight_ = 0;   // the same sum of work / cost
  TimePoint next_tick_at_{};
  int late_ticks_ = 0;  // late ticks minus ticks in time, 0 .. 10
};

}  // namespace pearchute
