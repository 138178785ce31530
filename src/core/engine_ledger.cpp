#include "core/engine_ledger.h"

#include <algorithm>

namespace pearchute {

namespace {

constexpr std::chrono::seconds report_lifetime(2);
// Threads per attempt to assume where this manager has no attempt at the engine to derive them from.
constexpr double default_threads_per_attempt = 1.5;
// Threads per core beyond which an engine's throughput does not increase.
constexpr double saturating_threads_per_core = 1.5;
// The minimum share of the reported free threads that this manager may use.
constexpr double min_share_of_free_threads = 0.5;

}  // namespace

void EngineLedger::reserve(double grant_mb, int threads) {
  reserved_mb_ += grant_mb;
  reserved_threads_ += threads;
  attempts_ += 1;
}

void EngineLedger::release(double grant_mb, int threads) {
  reserved_mb_ -= grant_mb;
  reserved_threads_ -= threads;
  attempts_ -= 1;
}

void EngineLedger::release_at(TimePoint when, double grant_mb, int threads) {
  abandoned_.push_back({when, grant_mb, threads});
  attempts_ -= 1;
}

void EngineLedger::release_abandoned(TimePoint up_to) {
  std::erase_if(abandoned_, [&](const Abandoned& one) {
    if (one.until > up_to) return false;
    reserved_mb_ -= one.grant_mb;
    reserved_threads_ -= one.threads;
    return true;
  });
}

// If the engine reports its outstanding requests, this manager may also use at least half of the threads that
// are free there. The reported memory share gives the reservations of other managers, which the separate
// ledgers of the managers cannot show.
void EngineLedger::on_load_report(TimePoint now, const LoadReport& report, const MachineKind& machine,
                                  double share) {
  if (report.outstanding) {
    const double threads =
        attempts_ > 0 ? double(reserved_threads_) / attempts_ : default_threads_per_attempt;
    const double used = std::max(*report.outstanding, static_cast<double>(attempts_)) * threads;
    const double saturation = saturating_threads_per_core * machine.cores;
    reported_slots_ = reserved_threads_ + std::max(share, min_share_of_free_threads) * (saturation - used);
    reported_at_ = now;
  }
  if (!report.memory_share) return;
  const double others =
      std::clamp(*report.memory_share * machine.memory_mb - reserved_mb_, 0.0, machine.memory_mb);
  reserved_by_others_mb_ =
      reserved_by_others_mb_ ? *reserved_by_others_mb_ + (others - *reserved_by_others_mb_) / 2 : others;
}

std::optional<double> EngineLedger::reported_slots(TimePoint now) const {
  if (!reported_at_ || now >= *reported_at_ + report_lifetime) return std::nullopt;
  return reported_slots_;
}

void EngineLedger::end_data_load(DataSetId data_set) {
  if (--own_data_loads_[data_set] <= 0) own_data_loads_.erase(data_set);
}

bool EngineLedger::is_loading(TimePoint now, DataSetId data_set) const {
  if (own_data_loads_.contains(data_set)) return true;
  const auto others = data_loads_by_others_.find(data_set);
  return others != data_loads_by_others_.end() && now < others->second;
}

void EngineLedger::grow_starvation_reservation(double mb, double floor_mb) {
  if (starvation_) starvation_->mb = std::min(floor_mb, starvation_->mb + mb);
}

}  // namespace pearchute
