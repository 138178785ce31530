// Leases on the instances that one agent owns. The owner alone grants them: who may work on an instance,
// under which operation, with which fencing token, and until when by the owner's own steady clock.
//
// The leases of one request are granted all or none. A refused request learns who holds what, since when and
// until when. A take-over ends the older operation's leases and raises the fence, so that whatever that
// operation still sends is refused. Fences of an instance only grow, and a grant counts only once it is
// durable.
//
// Not thread-safe. It reads no clock and does no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

// Requests leases on several instances. A repeat of a granted request is answered the same.
struct LeaseRequest {
  std::string operation;  // its id
  std::string who;        // the operator
  std::vector<std::string> instances;
  Duration lease_duration{};  // from LeaseTable::min_lease to max_lease
  bool take_over = false;     // from whoever holds them
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
  // Why a lease ended.
  enum class EndReason { run_out, released, taken_over };

  // Must outlive the LeaseTable.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists leases before they are granted. Returns false where that fails; then nothing is granted.
    virtual bool persist(const std::map<std::string, Lease>& granted) = 0;
    virtual void lease_ended(const std::string& instance, const Lease& lease, EndReason why) = 0;
    // Asks for on_timer() at that time. A later call replaces an earlier one.
    virtual void wake_at(TimePoint when) = 0;
  };

  // A shorter lease could not outlast a slow step; a longer one would bind instances to an operator who is
  // gone.
  static constexpr Duration min_lease = std::chrono::seconds(1);
  static constexpr Duration max_lease = std::chrono::hours(1);

  explicit LeaseTable(Host& host) : host_(host) {}
  LeaseTable(const LeaseTable&) = delete;
  LeaseTable& operator=(const LeaseTable&) = delete;

  // Adds an instance, with the last fence that was ever granted on it and the lease that may still be live.
  // Since the clock may have started anew, that lease is given its whole duration once more.
  void add_instance(TimePoint now, const std::string& instance, std::uint64_t last_fence,
                    const std::optional<Lease>& open, Duration lease_duration);
  // Returns false, and removes nothing, while there is a live lease on the instance.
  bool remove_instance(TimePoint now, const std::string& instance);

  // A lease that stands in the way of a request.
  struct Conflict {
    std::string instance;
    Lease lease;
  };
  // To a request for leases.
  struct Answer {
    bool granted = false;
    std::map<std::string, std::uint64_t> fences;  // by instance, where it is granted
    std::vector<Conflict> conflicts;              // where it is refused since others hold leases
    std::string fault;                            // where it is refused for any other reason
  };
  Answer acquire(TimePoint now, const LeaseRequest& request);
  // Extends those of the operation's leases that are live. Returns false where any is not.
  bool renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
             Duration lease_duration);
  void release(TimePoint now, const std::string& operation);
  // Ends the leases that have run out.
  void on_timer(TimePoint now);

  // Whether the lease with this fence is live, by the clock alone: on_timer() may be late.
  bool live(TimePoint now, const std::string& instance, std::uint64_t fence) const;
  std::optional<Lease> lease_on(TimePoint now, const std::string& instance) const;
  std::uint64_t last_fence(const std::string& instance) const;

 private:
  // An instance, and the lease on it.
  struct OwnedInstance {
    std::uint64_t last_fence = 0;
    std::optional<Lease> lease;
    bool is_leased_to(const std::string& operation) const { return lease && lease->operation == operation; }
  };
  void check(const LeaseRequest& request, Answer& answer) const;
  Lease lease_for(TimePoint now, const LeaseRequest& request, const OwnedInstance& owned) const;
  void end(const std::string& instance, OwnedInstance& owned, EndReason why);
  void schedule_timer();

  Host& host_;
  std::map<std::string, OwnedInstance> instances_;
};

}  // namespace pearchute::fleet
