// Leases on the instances that one agent owns. Only the owner grants them. A lease lets one operation of one
// operator work on an instance, with a fence (fencing token), until a time by the owner's own steady clock.
//
// A request for several leases is granted in full or refused. The answer to a refused request lists the
// leases in its way, with their holders and times. A take-over ends the older operation's leases and raises
// the fence, so that any later message of that operation is refused. The fence of an instance only grows, and
// a grant takes effect only once it is durable.
//
// Not thread-safe. The class reads no clock and does no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

// A request for leases on several instances. A repeat of a granted request gets the same fences again.
struct LeaseRequest {
  std::string operation;  // the operation's id
  std::string who;        // the operator
  std::vector<std::string> instances;
  Duration lease_duration{};  // from LeaseTable::min_lease to max_lease
  bool take_over = false;     // whether to end leases that other operations hold
};

// A lease on one instance.
struct Lease {
  std::string operation, who;
  std::uint64_t fence = 0;
  TimePoint since{}, until{};
};

// The instances of one agent, with the lease on each.
class LeaseTable {
 public:
  // The reason why a lease ended.
  enum class EndReason { run_out, released, taken_over };

  // Carries out the decisions. Must outlive the LeaseTable.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists leases, by instance, before they are granted. Returns false on failure; nothing is granted
    // then.
    virtual bool persist(const std::map<std::string, Lease>& granted) = 0;
    virtual void lease_ended(const std::string& instance, const Lease& lease, EndReason reason) = 0;
    // Requests a call of on_timer() at `when`. A later request replaces an earlier one.
    virtual void wake_at(TimePoint when) = 0;
  };

  // A shorter lease could expire during a slow step. A longer one would hold instances for an operator who
  // has left.
  static constexpr Duration min_lease = std::chrono::seconds(1);
  static constexpr Duration max_lease = std::chrono::hours(1);

  explicit LeaseTable(Host& host) : host_(host) {}
  LeaseTable(const LeaseTable&) = delete;
  LeaseTable& operator=(const LeaseTable&) = delete;

  // Adds an instance, with the last fence that was ever granted on it and a persisted lease (`open`) that may
  // still be live. Since the steady clock may have restarted, that lease gets its whole duration again.
  void add_instance(TimePoint now, const std::string& instance, std::uint64_t last_fence,
                    const std::optional<Lease>& open, Duration lease_duration);
  // Returns false, and removes nothing, while there is a live lease on the instance.
  bool remove_instance(TimePoint now, const std::string& instance);

  // A lease of another operation for which a request is refused.
  struct Conflict {
    std::string instance;
    Lease lease;
  };
  // The answer to a request for leases.
  struct Answer {
    bool granted = false;
    std::map<std::string, std::uint64_t> fences;  // of a granted request, by instance
    std::vector<Conflict> conflicts;              // leases of other operations for which it is refused
    std::string fault;                            // any other reason for which it is refused
  };
  Answer acquire(TimePoint now, const LeaseRequest& request);
  // Extends the operation's live leases on these instances. Returns false if it has no live lease on any one
  // of them.
  bool renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
             Duration lease_duration);
  // Ends all leases of the operation.
  void release(TimePoint now, const std::string& operation);
  // Ends the leases that have expired.
  void on_timer(TimePoint now);

  // Returns whether the lease with this fence is live at `now`, even if on_timer() is late.
  bool live(TimePoint now, const std::string& instance, std::uint64_t fence) const;
  std::optional<Lease> lease_on(TimePoint now, const std::string& instance) const;
  std::uint64_t last_fence(const std::string& instance) const;

 private:
  // The state of one instance.
  struct OwnedInstance {
    std::uint64_t last_fence = 0;
    std::optional<Lease> lease;
    bool is_leased_to(const std::string& operation) const { return lease && lease->operation == operation; }
  };
  void check(const LeaseRequest& request, Answer& answer) const;
  Lease lease_for(TimePoint now, const LeaseRequest& request, const OwnedInstance& owned) const;
  void end(const std::string& instance, OwnedInstance& owned, EndReason reason);
  void schedule_timer();

  Host& host_;
  std::map<std::string, OwnedInstance> instances_;
};

}  // namespace pearchute::fleet
