#include "core/work_model.h"

#include <algorithm>

namespace pearchute {

namespace {

constexpr double bias_samples = 50;  // each sample corrects a bias by 1/50 of its error
constexpr double min_work_ratio = 0.2;
constexpr double max_work_ratio = 5.0;
// Requests also spill when an engine is short of memory, so spills raise a memory bias no further than this.
constexpr double max_memory_bias_from_spills = 1.5;
// Half of the headroom that engines add when they choose a grant themselves; the learned bias covers the
// rest.
constexpr double memory_headroom = 1.125;
constexpr double negligible_share_of_typical_work = 0.25;
// A request whose work is below these multiples of the mean has priority 3, 2 or 1.
constexpr double priority_3_below = 0.5;
constexpr double priority_2_below = 2;
constexpr double priority_1_below = 6;
constexpr double min_sample_weight = 0.01;
constexpr double sample_weight_range = 0.19;
constexpr double min_mean_work_ms = 1e-6;

}  // namespace

WorkModel::WorkModel(const std::vector<RequestType>& types) {
  for (const RequestType& type : types) {
    types_.push_back({.type = type, .work_ms = {}, .memory_mb = {}});
    max_threads_ = std::max(max_threads_, type.threads);
  }
}

double WorkModel::on_request(const Request& request) {
  TypeEstimates& type = estimates(request.type);
  if (request.work_ms) type.work_ms.add(*request.work_ms);
  if (request.memory_mb) type.memory_mb.add(*request.memory_mb);
  const double work_ms = request.work_ms.value_or(type.work_ms.value());
  mean_work_ms_.add(work_ms);
  return work_ms;
}

void WorkModel::on_success(const Request& request, Duration elapsed, std::optional<double> work_ms,
                           std::optional<double> memory_mb) {
  TypeEstimates& type = estimates(request.type);
  if (!request.work_ms) {
    type.work_ms.add(work_ms.value_or(to_ms(elapsed) * type.type.threads));
  } else if (work_ms) {
    const double ratio = std::clamp(*work_ms / *request.work_ms, min_work_ratio, max_work_ratio);
    type.work_bias += (ratio - type.work_bias) / bias_samples;
  }
  if (memory_mb && !request.memory_mb) {
    type.memory_mb.add(*memory_mb);
  } else if (memory_mb) {
    type.memory_bias += (*memory_mb / *request.memory_mb - type.memory_bias) / bias_samples;
  }
}

void WorkModel::on_spill(const Request& request, double grant_mb, double missing_mb) {
  const double estimate_mb = request.memory_mb.value_or(0);
  if (estimate_mb <= 0 || grant_mb < estimate_mb)
    return;  // the spill does not show that the estimate is too low
  double& bias = estimates(request.type).memory_bias;
  const double corrected = bias + ((grant_mb + missing_mb) / estimate_mb - bias) / bias_samples;
  bias = std::min(corrected, max_memory_bias_from_spills);
}

double WorkModel::ideal_ms(const RequestState& state) const {
  const TypeEstimates& type = estimates(state.request.type);
  return state.work_ms * type.work_bias / type.type.threads;
}

double WorkModel::needed_mb(const RequestState& state) const {
  const TypeEstimates& type = estimates(state.request.type);
  const double estimate_mb = state.request.memory_mb.value_or(0);
  return estimate_mb > 0 ? memory_headroom * type.memory_bias * estimate_mb : type.memory_mb.value();
}

// Until the work of a type is learned, assumes that a request uses all its threads for its whole latency
// objective.
double WorkModel::typical_work_ms(const TypeEstimates& type) const {
  const double learned_ms = type.work_ms.value() * type.work_bias;
  return learned_ms > 0 ? learned_ms : to_ms(type.type.latency_objective) * type.type.threads;
}

double WorkModel::largest_typical_work_ms() const {
  double largest = 0;
  for (const TypeEstimates& type : types_) largest = std::max(largest, typical_work_ms(type));
  return largest;
}

double WorkModel::max_typical_memory_mb() const {
  double largest = 0;
  for (const TypeEstimates& type : types_)
    largest = std::max(largest, type.memory_mb.value() * type.memory_bias);
  return largest;
}

double WorkModel::warm_up_work_ms(const RequestState& state) const {
  const double estimate_ms = state.work_ms * std::max(1.0, estimates(state.request.type).work_bias);
  return state.request.work_ms ? estimate_ms : std::max(estimate_ms, typical_work_ms(state));
}

double WorkModel::typical_data_load_ms() const {
  double longest = 0;
  for (const TypeEstimates& type : types_) {
    if (type.type.loads_data_set) longest = std::max(longest, type.work_ms.value() / type.type.threads);
  }
  return longest;
}

bool WorkModel::is_small_for_type(const RequestState& state) const {
  return state.request.work_ms && state.work_ms <= estimates(state.request.type).work_ms.value();
}

bool WorkModel::is_negligible(const RequestState& state) const {
  const double ideal = ideal_ms(state);
  return ideal <= 0 ||
         ideal * type(state).threads < typical_work_ms(state) * negligible_share_of_typical_work;
}

double WorkModel::relative_size(const RequestState& state) const {
  return state.work_ms / std::max(mean_work_ms_.value(), min_mean_work_ms);
}

int WorkModel::priority(const RequestState& state) const {
  const double size = relative_size(state);
  if (size < priority_3_below) return highest_priority;
  if (size < priority_2_below) return 2;
  return size < priority_1_below ? 1 : 0;
}

double WorkModel::sample_weight(const RequestState& state) const {
  const double size = state.work_ms / std::max(2 * mean_work_ms_.value(), min_mean_work_ms);
  return min_sample_weight + sample_weight_range * std::min(1.0, size);
}

}  // namespace pearchute
