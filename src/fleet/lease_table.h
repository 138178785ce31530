// LeaseTable on the instances that one agent owns. The owner alone grants them: who works on an instance,
// under which operation, with a fencing number that only grows, and until when by the owner's own steady
// clock. It knows no file, socket or clock; what it grants counts only once the host has written it.
//
// LeaseTable for an operation are taken all or none. One that is refused hears who holds what, since when and
// for how long. A take-over ends the older operation's leases and bumps the fence, so that whatever that one
// still sends is refused.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

struct LeaseRequest {
  std::string operation;  // its id; the same ask again is answered the same
  std::string who;
  std::vector<std::string> instances;
  Duration lease_duration{};
  bool take_over = false;
};

struct Lease {
  std::string operation, who;
  std::uint64_t fence = 0;
  TimePoint since{}, until{};
};

class LeaseTable {
 public:
  enum class EndReason { run_out, released, taken_over };
  class Host {
   public:
    virtual ~Host() = default;
    // To be on disk before the grant is told; false where that fails, and nothing is granted.
    virtual bool persist(const std::map<std::string, Lease>& granted) = 0;
    virtual void lease_ended(const std::string& instance, const Lease& lease, EndReason why) = 0;
    virtual void wake_at(TimePoint when) = 0;
  };
  // Longer would leave instances bound to an operator who is gone; shorter could not outlast a slow step.
  static constexpr Duration min_lease = std::chrono::seconds(1), max_lease = std::chrono::hours(1);

  explicit LeaseTable(Host& host) : host_(host) {}
  LeaseTable(const LeaseTable&) = delete;
  LeaseTable& operator=(const LeaseTable&) = delete;

  // At start: an instance with the last fence that was ever granted on it, and the lease that may still be
  // live. Since the clock has started anew, its whole lease_duration is given once more: never too short.
  void add_instance(TimePoint now, const std::string& instance, std::uint64_t last_fence,
                    const std::optional<Lease>& open, Duration lease_duration);

  // False where it is claimed: it stays.
  bool remove_instance(TimePoint now, const std::string& instance);

  struct Conflict {
    std::string instance;
    Lease lease;
  };
  struct Answer {
    bool granted = false;
    std::map<std::string, std::uint64_t> fences;
    std::vector<Conflict> conflicts;  // by others, where it is refused for that
    std::string fault;                // where it is refused for anything else
  };
  Answer acquire(TimePoint now, const LeaseRequest& request);
  // Those of these leases that are live go on for `lease_duration`. False where any is not: run out, or taken
  // over.
  bool renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
             Duration lease_duration);
  void release(TimePoint now, const std::string& operation);
  void on_timer(TimePoint now);

  bool live(TimePoint now, const std::string& instance, std::uint64_t fence) const;
  std::optional<Lease> lease_on(TimePoint now, const std::string& instance) const;
  std::uint64_t last_fence(const std::string& instance) const;

 private:
  struct Owned {
    std::uint64_t last_fence = 0;
    std::optional<Lease> lease;
  };
  void end(const std::string& instance, Owned& owned, EndReason why);
  void set_wake();

  Host& host_;
  std::map<std::string, Owned> owned_;
};

}  // namespace pearchute::fleet
