// BudgetLeases of a cold engine's budget, lent by one manager to another: what one agent decides for its own
// managers. Each manager has an even part of what such an engine bears in a window; it may lend eighths of
// it, under a lease. Give before take, pair by pair: the lender's loan is on disk and its manager has heard
// that it may send less, and a whole window has passed since, before the borrower may send more. The borrower
// counts the lease from when it asked; the lender from when it granted, and one window more. So the sum holds
// in any partition, crash, pause or restart, with nobody elected. Without word everyone is back at the even
// part by itself.
//
// It knows no socket, file or clock. Times are this agent's steady clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/instance_lifecycle.h"

namespace pearchute::fleet {

// An engine in one cold time: with another start it is another one.
struct WarmingEngine {
  std::string name;
  std::uint64_t start = 0;
  auto operator<=>(const WarmingEngine&) const = default;
};

struct BudgetLeaseRequest {
  std::string id;  // of this loan, from its first ask to its last renewal
  WarmingEngine engine;
  std::string borrower;     // the manager
  int eighths = 0;          // that it wants
  int used = 0;             // of what it has by this loan: what it had no use for is not renewed
  std::uint64_t round = 1;  // of this loan's asks; its answer names it, and so when it was asked
  auto operator<=>(const BudgetLeaseRequest&) const = default;
};
// For one ask. None granted: nothing (or nothing more) to lend; what was granted before runs out.
struct BudgetLeaseResponse {
  std::string id;
  int eighths = 0;
  std::uint64_t round = 1;
};

class BudgetLeases {
 public:
  static constexpr int full_share =
      8;  // a manager's even part, in eighths: finer ones are less than a short job
  // That a manager never lends: with it, a short job goes in every other window, however long others borrow.
  static constexpr int min_retained_share = 2;

  struct BudgetLease {
    WarmingEngine engine;
    std::string lender, borrower, to;  // managers, and the borrower's agent
    int eighths = 0;
    bool operator==(const BudgetLease&) const = default;
  };
  class Host {
   public:
    virtual ~Host() = default;
    // All loans that stand, by id, on disk when it returns true; false, and nothing new is lent.
    virtual bool persist(const std::map<std::string, BudgetLease>& loans) = 0;
    // To an own manager: so many eighths there until then, and the even part again afterwards. Where it is
    // less than the even part it has to hold until then by the manager's own clock, at least; else at most.
    // An order with a lesser fence than one that it had is not for it to take.
    virtual void send_share(const std::string& manager, const WarmingEngine& engine, int eighths,
                            TimePoint until, std::uint64_t fence) = 0;
    virtual void send_request(const std::string& agent, const BudgetLeaseRequest& send_request) = 0;
    virtual void send_response(const std::string& agent, const BudgetLeaseResponse& send_response) = 0;
  };

  // `window` is the span in which a cold engine's budget counts; `lease` how long a loan lasts.
  // The incarnation is this agent's, kept on disk; orders and loans are numbered within it.
  BudgetLeases(Host& host, std::string self, std::uint64_t incarnation, Duration window, Duration lease);
  // For so long a manager that has just begun has no part by itself, unless it is told: as long as anything
  // may still hold that was told to, or lent by, the life before it.
  static Duration startup_quiet_period(Duration window, Duration lease);
  BudgetLeases(const BudgetLeases&) = delete;
  BudgetLeases& operator=(const BudgetLeases&) = delete;

  // At start, what the disk held: each loan's whole lease is counted once more. Without a disk that can be
  // believed (`lost`), nothing is lent or borrowed until the longest lease and a window are over.
  void restore(TimePoint now, const std::map<std::string, BudgetLease>& loans, bool lost);
  // The own managers that take orders, with their even parts in eighths: `whole`, or 0 for one that came
  // after the parts were handed out, and has what others lend.
  void set_managers(const std::map<std::string, int>& managers);
  void on_manager_restarted(TimePoint now,
                            const std::string& manager);  // another life of it, which has heard nothing yet

  // What a manager could send there, in eighths of an even part, as its traffic asks.
  void set_demand(TimePoint now, const std::string& manager, const WarmingEngine& engine, int eighths);
  // It has heard an order with this fence.
  void on_share_acknowledged(TimePoint now, const std::string& manager, const WarmingEngine& engine,
                             std::uint64_t fence);
  void on_request(TimePoint now, const std::string& agent, const BudgetLeaseRequest& send_request);
  void on_response(TimePoint now, const std::string& agent, const BudgetLeaseResponse& send_response);
  // Whom to ask first: agents whose word is fresh, the idlest first.
  void on_timer(TimePoint now, const std::vector<std::string>& lenders);

  int share(TimePoint now, const std::string& manager, const WarmingEngine& engine) const;
  std::size_t lent() const { return granted_leases_.size(); }
  std::size_t borrowed() const { return borrowed_leases_.size(); }

 private:
  struct Granted {
    BudgetLease loan;
    std::optional<TimePoint> stopped;  // when its manager had heard
    std::optional<TimePoint> granted;  // by the last answer
    TimePoint sent_until{};            // what its manager was told,
    TimePoint acknowledged_until{};    // and has heard
    std::uint64_t sent_fence = 0;      // by which order; 0: it has heard
    BudgetLeaseRequest last;
    bool answers = false;  // an answer is owed
  };
  struct Borrowed {
    BudgetLeaseRequest send_request;
    std::string from;
    std::map<std::uint64_t, TimePoint> on_request;  // when, by round
    TimePoint first_requested_at{};
    int eighths = 0;  // granted; 0: not yet
    TimePoint until{};
    bool over = false;  // not wanted any more, or refused
  };
  using ShareKey = std::pair<std::string, WarmingEngine>;  // a manager and an engine
  int lent_from(const ShareKey& at) const;
  int borrowed_by(TimePoint now, const ShareKey& at) const;
  int lendable(TimePoint now, const ShareKey& at) const;
  int own_share_of(const std::string& manager) const;
  int demand_of(const ShareKey& at) const;
  void send_order(TimePoint now, const ShareKey& at);
  void send_due_grants(TimePoint now);
  bool persist();

  Host& host_;
  const std::string self_;
  const Duration window_, lease_;
  std::map<std::string, int> managers_;
  std::map<ShareKey, int> demand_;
  std::map<std::string, Granted> granted_leases_;    // by id
  std::map<std::string, Borrowed> borrowed_leases_;  // by id
  std::set<ShareKey> ordered_keys_;                  // that have had an order in this life of theirs
  const std::uint64_t incarnation_;
  std::uint64_t last_fence_ = 0, next_ask_ = 1;
  std::optional<TimePoint> quiet_until_;
  std::size_t next_lender_ = 0;
};

}  // namespace pearchute::fleet
