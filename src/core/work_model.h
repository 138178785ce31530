// Learned needs of requests by type: how much work and memory a request takes, where it is estimated and
// where it is not, and what follows from its size (ideal time, priority). Estimates come with requests; what
// answers report corrects them by type.
#pragma once

#include <optional>
#include <vector>

#include "core/request_state.h"
#include "core/types.h"
#include "core/units.h"

namespace pearchute {

inline constexpr int highest_priority = 3;

// Owns the learned figures of each request type.
class WorkModel {
 public:
  explicit WorkModel(const std::vector<RequestType>& types);

  const RequestType& type(RequestTypeId id) const { return figures(id).type; }
  const RequestType& type(const RequestState& state) const { return type(state.request.type); }
  std::size_t type_count() const { return types_.size(); }
  int largest_threads() const { return largest_threads_; }

  // Takes in the estimates of a request that arrives; returns its work in ms on one thread: its estimate, or
  // what its type typically needs.
  double on_request(const Request& request);
  // What an attempt that succeeded has needed; `work_ms` and `memory_mb` where the answer tells them.
  void on_success(const Request& request, Duration elapsed, std::optional<double> work_ms,
                  std::optional<double> memory_mb);
  // An engine spilled because `missing_mb` were missing beside the grant.
  void on_spill(const Request& request, double grant_mb, double missing_mb);

  // Time that the request takes on its threads with nothing beside it, in ms.
  double ideal_ms(const RequestState& state) const;
  double corrected_work_ms(const RequestState& state) const {
    return state.work_ms * figures(state.request.type).work_bias;
  }
  // Memory that the request is taken to need, in MB; 0 where nothing is known.
  double needed_mb(const RequestState& state) const;
  // Work of a mean request of the type, in ms on one thread.
  double typical_work_ms(RequestTypeId id) const { return typical_work_ms(figures(id)); }
  double typical_work_ms(const RequestState& state) const { return typical_work_ms(state.request.type); }
  double largest_typical_work_ms() const;
  double largest_typical_memory_mb() const;
  // What a request counts against an engine that is warming up, in ms: its estimate, or without one what its
  // type typically needs.
  double warm_up_work_ms(const RequestState& state) const;
  // How long a load of a data set typically takes on its threads, in ms.
  double typical_data_load_ms() const;
  // Whether its estimate is no more than its type's mean.
  bool is_small_for_type(const RequestState& state) const;
  // Whether most of its time is not work: under a quarter of its type's typical work.
  bool is_negligible(const RequestState& state) const;
  // Its work relative to that of a mean request.
  double relative_size(const RequestState& state) const;
  // Shortest requests first on scarce cores and disks: more is answered in time. 0 .. highest_priority.
  int priority(const RequestState& state) const;
  // How much one sample weighs in a smoothed latency, 0 .. 1: a long attempt tells more of an engine than a
  // short one, which its priority hides from the load.
  double sample_weight(const RequestState& state) const;

 private:
  // One request type.
  struct Figures {
    RequestType type;
    RunningMean work_ms;    // of the estimates, or of what answers report
    RunningMean memory_mb;  // the same
    double work_bias = 1;   // needed / estimated
    double memory_bias = 1;
  };
  const Figures& figures(RequestTypeId id) const { return types_[static_cast<std::size_t>(id.value)]; }
  Figures& figures(RequestTypeId id) { return types_[static_cast<std::size_t>(id.value)]; }
  double typical_work_ms(const Figures& figures) const;

  std::vector<Figures> types_;
  RunningMean mean_work_ms_;  // over all requests
  int largest_threads_ = 1;
};

}  // namespace pearchute
