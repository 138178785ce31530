// Parts of a cold engine's budget, lent by one manager to another: what one agent decides for its own
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
struct ColdEngine {
  std::string name;
  std::uint64_t start = 0;
  auto operator<=>(const ColdEngine&) const = default;
};

struct LoanAsk {
  std::string id;  // of this loan, from its first ask to its last renewal
  ColdEngine engine;
  std::string borrower;     // the manager
  int eighths = 0;          // that it wants
  int used = 0;             // of what it has by this loan: what it had no use for is not renewed
  std::uint64_t round = 1;  // of this loan's asks; its answer names it, and so when it was asked
  auto operator<=>(const LoanAsk&) const = default;
};
// For one ask. None granted: nothing (or nothing more) to lend; what was granted before runs out.
struct LoanAnswer {
  std::string id;
  int eighths = 0;
  std::uint64_t round = 1;
};

class Parts {
 public:
  static constexpr int whole = 8;  // a manager's even part, in eighths: finer ones are less than a short job
  // That a manager never lends: with it, a short job goes in every other window, however long others borrow.
  static constexpr int kept_back = 2;

  struct Loan {
    ColdEngine engine;
    std::string lender, borrower, to;  // managers, and the borrower's agent
    int eighths = 0;
    bool operator==(const Loan&) const = default;
  };
  class Host {
   public:
    virtual ~Host() = default;
    // All loans that stand, by id, on disk when it returns true; false, and nothing new is lent.
    virtual bool keep(const std::map<std::string, Loan>& loans) = 0;
    // To an own manager: so many eighths there until then, and the even part again afterwards. Where it is
    // less than the even part it has to hold until then by the manager's own clock, at least; else at most.
    // An order with a lesser fence than one that it had is not for it to take.
    virtual void tell(const std::string& manager, const ColdEngine& engine, int eighths, Span until,
                      std::uint64_t fence) = 0;
    virtual void ask(const std::string& agent, const LoanAsk& ask) = 0;
    virtual void answer(const std::string& agent, const LoanAnswer& answer) = 0;
  };

  // `window` is the span in which a cold engine's budget counts; `lease` how long a loan lasts.
  // The incarnation is this agent's, kept on disk; orders and loans are numbered within it.
  Parts(Host& host, std::string self, std::uint64_t incarnation, Span window, Span lease);
  // For so long a manager that has just begun has no part by itself, unless it is told: as long as anything
  // may still hold that was told to, or lent by, the life before it.
  static Span silent_start(Span window, Span lease);
  Parts(const Parts&) = delete;
  Parts& operator=(const Parts&) = delete;

  // At start, what the disk held: each loan's whole lease is counted once more. Without a disk that can be
  // believed (`lost`), nothing is lent or borrowed until the longest lease and a window are over.
  void remembered(Span now, const std::map<std::string, Loan>& loans, bool lost);
  // The own managers that take orders, with their even parts in eighths: `whole`, or 0 for one that came
  // after the parts were handed out, and has what others lend.
  void manages(const std::map<std::string, int>& managers);
  void began(Span now, const std::string& manager);  // another life of it, which has heard nothing yet

  // What a manager could send there, in eighths of an even part, as its traffic asks.
  void wants(Span now, const std::string& manager, const ColdEngine& engine, int eighths);
  // It has heard an order with this fence.
  void heard(Span now, const std::string& manager, const ColdEngine& engine, std::uint64_t fence);
  void asked(Span now, const std::string& agent, const LoanAsk& ask);
  void answered(Span now, const std::string& agent, const LoanAnswer& answer);
  // Whom to ask first: agents whose word is fresh, the idlest first.
  void woken(Span now, const std::vector<std::string>& lenders);

  int share(Span now, const std::string& manager, const ColdEngine& engine) const;
  std::size_t lent() const { return lent_.size(); }
  std::size_t borrowed() const { return borrowed_.size(); }

 private:
  struct Lent {
    Loan loan;
    std::optional<Span> stopped;   // when its manager had heard
    std::optional<Span> granted;   // by the last answer
    Span told_until{};             // what its manager was told,
    Span held_until{};             // and has heard
    std::uint64_t told_fence = 0;  // by which order; 0: it has heard
    LoanAsk last;
    bool answers = false;  // an answer is owed
  };
  struct Borrowed {
    LoanAsk ask;
    std::string from;
    std::map<std::uint64_t, Span> asked;  // when, by round
    Span first_asked{};
    int eighths = 0;  // granted; 0: not yet
    Span until{};
    bool over = false;  // not wanted any more, or refused
  };
  using At = std::pair<std::string, ColdEngine>;  // a manager and an engine
  int lent_by(const At& at) const;
  int borrowed_by(Span now, const At& at) const;
  int spare(Span now, const At& at) const;
  int base(const std::string& manager) const;
  int needs(const At& at) const;
  void order(Span now, const At& at);
  void grant_due(Span now);
  bool keep();

  Host& host_;
  const std::string self_;
  const Span window_, lease_;
  std::map<std::string, int> managers_;
  std::map<At, int> wants_;
  std::map<std::string, Lent> lent_;          // by id
  std::map<std::string, Borrowed> borrowed_;  // by id
  std::set<At> ordered_;                      // that have had an order in this life of theirs
  const std::uint64_t incarnation_;
  std::uint64_t last_fence_ = 0, next_ask_ = 1;
  std::optional<Span> quiet_until_;
  std::size_t turn_ = 0;
};

}  // namespace pearchute::fleet
