// Load shedding: which requests are not admitted because the engines, or this manager's own core, can't serve
// all of them. A request's cost is the engine time that it asks for a unit of weight (1 / value density);
// what costs most is shed first.
#pragma once

#include <vector>

#include "core/request_state.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Keeps rates, mean costs and the threshold above which requests are shed.
class LoadShedder {
 public:
  // `service` is read here only; `work` must outlive it.
  LoadShedder(const ServiceDefinition& service, const WorkModel& work);

  // A request has arrived; returns its cost in ms of work for a unit of weight.
  double on_request(const RequestState& state);
  // Whether the request that has just arrived is shed. `is_small`: estimated as small for its type, which
  // spares it under overload of the engines, so that a type that costs more than others is not
  // shed as a whole.
  bool sheds(double cost, bool is_small) const;

  // The periodic tick was due and comes now; ticks that come late again and again tell that this manager's
  // own core is short. `lateness_bound`: later than this is late.
  void on_tick(TimePoint now, Duration lateness_bound);
  void decay();
  // `is_crowded`: a request that may start has been queued for longer than `queue_delay_bound`.
  void adjust_threshold(bool is_crowded);
  static constexpr Duration queue_delay_bound = std::chrono::milliseconds(100);

  double requests_per_second() const { return requests_per_second_; }

 private:
  double value_density(const RequestState& state) const;

  const WorkModel& work_;
  double over_quota_weight_;
  std::vector<double> tenant_shares_;            // of all tenants' quotas
  std::vector<double> tenant_rates_per_second_;  // smoothed
  double requests_per_second_ = 0;               // smoothed
  double threshold_;                             // the largest cost that is admitted
  double largest_cost_ = 0;                      // recently
  double mean_cost_ = 0;
  double recent_work_ms_ = 0;  // decayed sum over all arrivals, shed or not
  double recent_weight_ = 0;   // the same of work / cost
  TimePoint next_tick_at_{};
  int late_ticks_ = 0;  // of late, less those in time
};

}  // namespace pearchute
