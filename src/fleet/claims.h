// Claims on the instances that one agent owns. The owner alone grants them: who works on an instance, under
// which operation, with a fencing number that only grows, and until when by the owner's own steady clock. It
// knows no file, socket or clock; what it grants counts only once the host has written it.
//
// Claims for an operation are taken all or none. One that is refused hears who holds what, since when and for
// how long. A take-over ends the older operation's claims and bumps the fence, so that whatever that one
// still sends is refused.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pearchute::fleet {

using Span = std::chrono::microseconds;

struct ClaimAsk {
  std::string operation;  // its id; the same ask again is answered the same
  std::string who;
  std::vector<std::string> instances;
  Span lease{};
  bool take_over = false;
};

struct Claim {
  std::string operation, who;
  std::uint64_t fence = 0;
  Span since{}, until{};
};

class Claims {
 public:
  enum class Ended { run_out, released, taken_over };
  class Host {
   public:
    virtual ~Host() = default;
    // To be on disk before the grant is told; false where that fails, and nothing is granted.
    virtual bool keep(const std::map<std::string, Claim>& granted) = 0;
    virtual void claim_ended(const std::string& instance, const Claim& claim, Ended why) = 0;
    virtual void wake_at(Span when) = 0;
  };
  // Longer would leave instances bound to an operator who is gone; shorter could not outlast a slow step.
  static constexpr Span shortest_lease = std::chrono::seconds(1), longest_lease = std::chrono::hours(1);

  explicit Claims(Host& host) : host_(host) {}
  Claims(const Claims&) = delete;
  Claims& operator=(const Claims&) = delete;

  // At start: an instance with the last fence that was ever granted on it, and the claim that may still be
  // live. Since the clock has started anew, its whole lease is given once more: never too short.
  void owns(Span now, const std::string& instance, std::uint64_t last_fence, const std::optional<Claim>& open,
            Span lease);

  // False where it is claimed: it stays.
  bool disown(Span now, const std::string& instance);

  struct Held {
    std::string instance;
    Claim claim;
  };
  struct Answer {
    bool granted = false;
    std::map<std::string, std::uint64_t> fences;
    std::vector<Held> held;  // by others, where it is refused for that
    std::string fault;       // where it is refused for anything else
  };
  Answer ask(Span now, const ClaimAsk& ask);
  // Those of these claims that are live go on for `lease`. False where any is not: run out, or taken over.
  bool renew(Span now, const std::string& operation, const std::vector<std::string>& instances, Span lease);
  void release(Span now, const std::string& operation);
  void woken(Span now);

  bool live(Span now, const std::string& instance, std::uint64_t fence) const;
  std::optional<Claim> claim_on(Span now, const std::string& instance) const;
  std::uint64_t last_fence(const std::string& instance) const;

 private:
  struct Owned {
    std::uint64_t last_fence = 0;
    std::optional<Claim> claim;
  };
  void end(const std::string& instance, Owned& owned, Ended why);
  void set_wake();

  Host& host_;
  std::map<std::string, Owned> owned_;
};

}  // namespace pearchute::fleet
