// The memory ledger of one engine: what this manager and others have reserved there, and which data sets are
// being loaded. The ledger only records; GrantPolicy decides on grants.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "core/types.h"

namespace pearchute {

// Reservations at one engine, in MB and threads.
class EngineLedger {
 public:
  // The slots (threads) that this manager may use before any latency is learned. Set once, when the engine is
  // first listed.
  void set_fair_share_slots(double slots) { fair_share_slots_ = slots; }
  double fair_share_slots() const { return fair_share_slots_; }

  void reserve(double grant_mb, int threads);
  void release(double grant_mb, int threads);
  // Ends an attempt that may still execute at the engine: its reservation is kept until `when`.
  void release_at(TimePoint when, double grant_mb, int threads);
  // Releases the reservations that release_at kept until `up_to` or earlier.
  void release_abandoned(TimePoint up_to);
  void release_all_abandoned() { release_abandoned(TimePoint::max()); }

  double reserved_mb() const { return reserved_mb_; }
  int reserved_threads() const { return reserved_threads_; }
  int attempts() const { return attempts_; }

  // Applies a load report of the engine. `share` is GrantPolicy::fleet_share().
  void on_load_report(TimePoint now, const LoadReport& report, const MachineKind& machine, double share);
  void forget_reserved_by_others() { reserved_by_others_mb_.reset(); }
  std::optional<double> reserved_by_others_mb() const { return reserved_by_others_mb_; }
  // The slots that this manager may use according to the last load report; none if the report is outdated.
  std::optional<double> reported_slots(TimePoint now) const;

  // Data sets that are being loaded by this manager's attempts, or are assumed to be loaded by other
  // managers.
  void begin_data_load(DataSetId data_set) { own_data_loads_[data_set] += 1; }
  void end_data_load(DataSetId data_set);
  void record_data_load_by_others(DataSetId data_set, TimePoint until) {
    data_loads_by_others_[data_set] = until;
  }
  void forget_data_load_by_others(DataSetId data_set) { data_loads_by_others_.erase(data_set); }
  bool is_loading(TimePoint now, DataSetId data_set) const;

  // The reservation for a starved request: memory that is released at the engine is kept for it, up to the
  // floor.
  struct StarvationReservation {
    RequestId request;
    int threads = 0;  // needed by the request
    double mb = 0;
  };
  const std::optional<StarvationReservation>& starvation_reservation() const { return starvation_; }
  bool is_reserved_for(RequestId request) const { return starvation_ && starvation_->request == request; }
  void reserve_for_starved(RequestId request, int threads) { starvation_ = {request, threads, 0}; }
  void cancel_starvation_reservation() { starvation_.reset(); }
  void grow_starvation_reservation(double mb, double floor_mb);

 private:
  // The reservation of an attempt that has ended for this manager but may still execute.
  struct Abandoned {
    TimePoint until{};
    double grant_mb = 0;
    int threads = 0;
  };
  double fair_share_slots_ = 0;
  double reserved_mb_ = 0;
  int reserved_threads_ = 0;
  int attempts_ = 0;
  std::deque<Abandoned> abandoned_;
  std::optional<double> reserved_by_others_mb_;
  double reported_slots_ = 0;
  std::optional<TimePoint> reported_at_;
  std::map<DataSetId, int> own_data_loads_;
  std::map<DataSetId, TimePoint> data_loads_by_others_;
  std::optional<StarvationReservation> starvation_;
};

}  // namespace pearchute
