// Learned needs of requests by type: how much work and memory a request needs, with or without an estimate,
// and what follows from its size (ideal time, priority). Requests may carry estimates, which are corrected by
// type according to the needs that answers report.
#pragma once

#include <optional>
#include <vector>

#include "core/request_state.h"
#include "core/types.h"
#include "core/units.h"

namespace pearchute {

inline constexpr int highest_priority = 3;

// Owns the learned estimates of each request type.
class WorkModel {
 public:
  explicit WorkModel(const std::vector<RequestType>& types);

  const RequestType& type(RequestTypeId id) const { return estimates(id).type; }
  const RequestType& type(const RequestState& state) const { return type(state.request.type); }
  std::size_t type_count() const { return types_.size(); }
  int max_threads() const { return max_threads_; }

  // Records the estimates of an arriving request. Returns its work in ms on one thread: its estimate, or the
  // mean of its type if it has none.
  double on_request(const Request& request);
  // An attempt has succeeded. `work_ms` and `memory_mb` are what it needed, if the answer reports it.
  void on_success(const Request& request, Duration elapsed, std::optional<double> work_ms,
                  std::optional<double> memory_mb);
  // An engine spilled because the attempt needed `missing_mb` in addition to its grant.
  void on_spill(const Request& request, double grant_mb, double missing_mb);

  // The time in ms that the request takes on its threads at an otherwise idle engine.
  double ideal_ms(const RequestState& state) const;
  // The request's work in ms on one thread, corrected by the learned bias of its type.
  double corrected_work_ms(const RequestState& state) const {
    return state.work_ms * estimates(state.request.type).work_bias;
  }
  // The memory in MB that the request is assumed to need; 0 if nothing is known about it.
  double needed_mb(const RequestState& state) const;
  // The work of a mean request of the type, in ms on one thread.
  double typical_work_ms(RequestTypeId id) const { return typical_work_ms(estimates(id)); }
  double typical_work_ms(const RequestState& state) const { return typical_work_ms(state.request.type); }
  double largest_typical_work_ms() const;
  double max_typical_memory_mb() const;
  // The work in ms that a request counts at an engine that is warming up: its estimate, or without one at
  // least the typical work of its type.
  double warm_up_work_ms(const RequestState& state) const;
  // The typical duration of a data set load on its threads, in ms; 0 if no load has been observed.
  double typical_data_load_ms() const;
  // Whether the request has an estimate that does not exceed the mean of its type.
  bool is_small_for_type(const RequestState& state) const;
  // Whether the request needs under a quarter of its type's typical work, so that most of its latency is
  // overhead.
  bool is_negligible(const RequestState& state) const;
  // The request's work divided by that of a mean request of any type.
  double relative_size(const RequestState& state) const;
  // The execution priority, 0 .. highest_priority. Shorter requests have a higher one, so that more requests
  // are answered in time where cores and disks are scarce.
  int priority(const RequestState& state) const;
  // The weight of a latency sample of the request, 0 .. 1. A long attempt shows more about an engine's load
  // than a short one, whose high priority shields it from the load.
  double sample_weight(const RequestState& state) const;

 private:
  // A request type and what is learned of it.
  struct TypeEstimates {
    RequestType type;
    RunningMean work_ms;    // of the estimates, or of what answers report if there are none
    RunningMean memory_mb;  // the same
    double work_bias = 1;   // needed divided by estimated
    double memory_bias = 1;
  };
  const TypeEstimates& estimates(RequestTypeId id) const {
    return types_[static_cast<std::size_t>(id.value)];
  }
  TypeEstimates& estimates(RequestTypeId id) { return types_[static_cast<std::size_t>(id.value)]; }
  double typical_work_ms(const TypeEstimates& estimates) const;

  std::vector<TypeEstimates> types_;
  RunningMean mean_work_ms_;  // over all requests
  int max_threads_ = 1;
};

}  // namespace pearchute
