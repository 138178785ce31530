#include "fleet/budget_leases.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// For an answer's way there and back, and for a manager that answers its agent late; an order that is heard
// later than that is given again.
constexpr Duration message_allowance = std::chrono::seconds(2);
// A borrower asks again while a third of its lease is left: two lost answers cost it nothing.
Duration renews_at(TimePoint on_request, Duration lease) { return on_request + lease * 2 / 3; }

}  // namespace

BudgetLeases::BudgetLeases(Host& host, std::string self, std::uint64_t incarnation, Duration window,
                           Duration lease)
    : host_(host),
      self_(std::move(self)),
      window_(window),
      lease_(lease),
      incarnation_(incarnation),
      last_fence_(incarnation << 32) {}

Duration BudgetLeases::startup_quiet_period(Duration window, Duration lease) {
  return message_allowance + lease + 2 * window;
}

bool BudgetLeases::persist() {
  std::map<std::string, BudgetLease> loans;
  for (const auto& [id, lent] : granted_leases_) loans[id] = lent.loan;
  return host_.persist(loans);
}

void BudgetLeases::restore(TimePoint now, const std::map<std::string, BudgetLease>& loans, bool lost) {
  if (lost) quiet_until_ = now + startup_quiet_period(window_, lease_);
  for (const auto& [id, loan] : loans) {
    // Whether it was granted is not known: it is taken to have been, just now. Nor whether its manager has
    // heard: it is taken not to have, and a renewal waits for that, and a window.
    Granted& lent = granted_leases_[id];
    lent.loan = loan, lent.granted = now, lent.last.id = id;
  }
}

void BudgetLeases::set_managers(const std::map<std::string, int>& managers) {
  managers_ = managers;
  std::erase_if(ordered_keys_, [&](const ShareKey& at) { return !managers.contains(at.first); });
}

void BudgetLeases::on_manager_restarted(TimePoint now, const std::string& manager) {
  std::erase_if(ordered_keys_, [&](const ShareKey& at) { return at.first == manager; });
  std::set<ShareKey> again;
  for (const auto& [id, lent] : granted_leases_) {
    if (lent.loan.lender == manager) again.insert({manager, lent.loan.engine});
  }
  for (const auto& [at, eighths] : demand_) {
    if (at.first == manager) again.insert(at);
  }
  for (const ShareKey& at : again) send_order(now, at);
}

int BudgetLeases::own_share_of(const std::string& manager) const {
  const auto at = managers_.find(manager);
  return at == managers_.end() ? 0 : at->second;
}

int BudgetLeases::demand_of(const ShareKey& at) const {
  const auto wanted = demand_.find(at);
  return wanted == demand_.end() ? 0 : wanted->second;
}

int BudgetLeases::lent_from(const ShareKey& at) const {
  int sum = 0;
  for (const auto& [id, lent] : granted_leases_) {
    if (lent.loan.lender == at.first && lent.loan.engine == at.second) sum += lent.loan.eighths;
  }
  return sum;
}

int BudgetLeases::borrowed_by(TimePoint now, const ShareKey& at) const {
  int sum = 0;
  for (const auto& [id, one] : borrowed_leases_) {
    if (one.send_request.borrower == at.first && one.send_request.engine == at.second && now < one.until)
      sum += one.eighths;
  }
  return sum;
}

int BudgetLeases::share(TimePoint now, const std::string& manager, const WarmingEngine& engine) const {
  const ShareKey at{manager, engine};
  return own_share_of(manager) - lent_from(at) + borrowed_by(now, at);
}

// What a manager has no use for. One that borrows there lends nothing.
int BudgetLeases::lendable(TimePoint now, const ShareKey& at) const {
  if (!managers_.contains(at.first) || borrowed_by(now, at) > 0) return 0;
  return own_share_of(at.first) - lent_from(at) - std::clamp(demand_of(at), min_retained_share, full_share);
}

// Each order has a fence of its own, so that one that comes late is known for what it is.
void BudgetLeases::send_order(TimePoint now, const ShareKey& at) {
  // Who does not know what it has lent orders nothing.
  if (!managers_.contains(at.first) || (quiet_until_ && now < *quiet_until_)) return;
  ordered_keys_.insert(at);
  TimePoint until = now;
  for (const auto& [id, lent] : granted_leases_) {
    // Over every way the loan may still take: the order heard late, a window, the answer, the lease, a
    // window.
    if (lent.loan.lender == at.first && lent.loan.engine == at.second)
      until = now + startup_quiet_period(window_, lease_);
  }
  const bool lends = until > now;
  if (!lends) {
    until = now + lease_;
    for (const auto& [id, one] : borrowed_leases_) {
      // The least of them: what is left of the others is told again then.
      if (one.send_request.borrower == at.first && one.send_request.engine == at.second && now < one.until)
        until = std::min(until, one.until);
    }
  }
  ++last_fence_;
  for (auto& [id, lent] : granted_leases_) {
    if (lent.loan.lender == at.first && lent.loan.engine == at.second)
      lent.sent_until = until, lent.sent_fence = last_fence_;
  }
  host_.send_share(at.first, at.second, share(now, at.first, at.second), until, last_fence_);
}

// ---- Lending

void BudgetLeases::on_request(TimePoint now, const std::string& agent,
                              const BudgetLeaseRequest& send_request) {
  const auto known = granted_leases_.find(send_request.id);
  if (known != granted_leases_.end()) {
    Granted& lent = known->second;
    if (lent.loan.to != agent) return;                 // an id that somebody else made up
    if (send_request.round < lent.last.round) return;  // a copy that comes late
    lent.last = send_request;
    if (!lent.granted) return lent.answers = true, void();  // still being stopped
    const ShareKey at{lent.loan.lender, lent.loan.engine};
    // Renewed while it is used, and its owner could not use it itself. At its end it is not: it may be over
    // there.
    const bool of_use = 2 * send_request.used >= lent.loan.eighths;
    const bool owner_needs = demand_of(at) > own_share_of(at.first) - lent_from(at);
    if (!of_use || owner_needs || !managers_.contains(at.first) || now >= *lent.granted + lease_)
      return host_.send_response(agent, {send_request.id, 0, send_request.round});
    lent.answers = true;
    send_order(now, at);  // its manager has to hear that this lasts longer, before the answer goes
    return;
  }
  const bool mute = quiet_until_ && now < *quiet_until_;
  ShareKey best;
  int most = 0;
  for (const auto& [manager, even] : managers_) {
    const ShareKey at{manager, send_request.engine};
    if (const int has = lendable(now, at); !mute && manager != send_request.borrower && has > most)
      best = at, most = has;
  }
  most = std::min(most, send_request.eighths);
  if (most <= 0) return host_.send_response(agent, {send_request.id, 0, send_request.round});
  Granted& lent = granted_leases_[send_request.id];
  lent.loan = {send_request.engine, best.first, send_request.borrower, agent, most};
  lent.last = send_request, lent.answers = true;
  // Intent before act. Where it can't be written nothing has happened yet.
  if (!persist()) {
    granted_leases_.erase(send_request.id);
    return host_.send_response(agent, {send_request.id, 0, send_request.round});
  }
  send_order(now, best);
}

void BudgetLeases::on_share_acknowledged(TimePoint now, const std::string& manager,
                                         const WarmingEngine& engine, std::uint64_t fence) {
  for (auto& [id, lent] : granted_leases_) {
    if (lent.loan.lender != manager || lent.loan.engine != engine || lent.sent_fence != fence) continue;
    // Held back all along only where the order before lasted until this one was heard, at the latest by now;
    // else it may have sent by its whole part in between, and a window has to pass again.
    if (!lent.stopped || now >= lent.acknowledged_until) lent.stopped = now;
    lent.acknowledged_until = lent.sent_until, lent.sent_fence = 0;
  }
  send_due_grants(now);
}

void BudgetLeases::send_due_grants(TimePoint now) {
  for (auto& [id, lent] : granted_leases_) {
    if (!lent.answers || !lent.stopped || lent.sent_fence != 0) continue;
    // What was sent before it stopped still counts for a window.
    if (now < *lent.stopped + window_) continue;
    // Its manager must be held back until all of the loan, and a window, is over.
    if (lent.sent_until < now + lease_ + window_) {
      send_order(now, {lent.loan.lender, lent.loan.engine});
      continue;
    }
    lent.answers = false, lent.granted = now;
    host_.send_response(lent.loan.to, {id, lent.loan.eighths, lent.last.round});
  }
}

// ---- Borrowing

void BudgetLeases::set_demand(TimePoint now, const std::string& manager, const WarmingEngine& engine,
                              int eighths) {
  const ShareKey at{manager, engine};
  demand_[at] = eighths;
  if (eighths > 0 && !ordered_keys_.contains(at)) send_order(now, at);
}

void BudgetLeases::on_response(TimePoint now, const std::string& agent,
                               const BudgetLeaseResponse& send_response) {
  const auto at = borrowed_leases_.find(send_response.id);
  if (at == borrowed_leases_.end() || at->second.from != agent) return;
  Borrowed& one = at->second;
  if (send_response.eighths <= 0) return one.over = true, void();
  const auto round = one.on_request.find(send_response.round);
  if (round == one.on_request.end()) return;
  // Counted from when it asked what this answers: whatever way the answer took, the lender counts longer.
  const TimePoint until = round->second + lease_;
  if (one.over || until <= now || until <= one.until) return;
  one.eighths = send_response.eighths, one.until = until;
  send_order(now, {one.send_request.borrower, one.send_request.engine});
}

void BudgetLeases::on_timer(TimePoint now, const std::vector<std::string>& lenders) {
  if (quiet_until_ && now >= *quiet_until_) quiet_until_.reset();
  // Loans that are over: the lender has its part back.
  std::set<ShareKey> changed;
  bool fewer = false;
  for (auto it = granted_leases_.begin(); it != granted_leases_.end();) {
    const Granted& lent = it->second;
    const bool ran_out = lent.granted && now >= *lent.granted + lease_ + window_;
    // One whose manager never heard was never granted, and is not answered any more.
    const bool in_vain = !lent.granted && now >= lent.sent_until;
    if (!ran_out && !in_vain) {
      ++it;
      continue;
    }
    changed.insert({lent.loan.lender, lent.loan.engine});
    it = granted_leases_.erase(it), fewer = true;
  }
  if (fewer) persist();
  for (auto it = borrowed_leases_.begin(); it != borrowed_leases_.end();) {
    Borrowed& one = it->second;
    const ShareKey at{one.send_request.borrower, one.send_request.engine};
    const bool held = now < one.until;
    if (!held && (one.over || one.eighths > 0 || now >= one.first_requested_at + lease_)) {
      if (one.eighths > 0) changed.insert(at);
      it = borrowed_leases_.erase(it);
      continue;
    }
    const TimePoint last = one.on_request.rbegin()->second;
    if (!one.over && now >= last + message_allowance / 2 &&
        (!held || now >= renews_at(one.until - lease_, lease_))) {
      // The first ask is said again as it was: it is counted from when it was first said.
      if (held) one.on_request[++one.send_request.round] = now;
      one.send_request.used = std::clamp(demand_of(at) - own_share_of(at.first), 0, one.eighths);
      host_.send_request(one.from, one.send_request);
    }
    // An answer to what was asked a lease ago is of no use.
    while (one.on_request.size() > 1 && one.on_request.begin()->second + lease_ <= now)
      one.on_request.erase(one.on_request.begin());
    ++it;
  }
  for (const ShareKey& at : changed) send_order(now, at);
  send_due_grants(now);
  if (lenders.empty() || (quiet_until_ && now < *quiet_until_)) return;
  // Who lacks most for its need asks first, one lender at a time, each time another one.
  for (const auto& [at, wanted] : demand_) {
    if (!managers_.contains(at.first) || lent_from(at) > 0) continue;
    int coming = 0, open = 0;
    for (const auto& [id, one] : borrowed_leases_) {
      if (one.send_request.borrower != at.first || one.send_request.engine != at.second) continue;
      coming += one.eighths, open += one.eighths == 0 && !one.over;
    }
    const int lacks = wanted - own_share_of(at.first) - coming;
    if (lacks <= 0 || open > 0) continue;
    const std::string& lender = lenders[next_lender_++ % lenders.size()];
    BudgetLeaseRequest send_request;
    send_request.id = self_ + "-" + std::to_string(incarnation_) + "-" + std::to_string(next_ask_++);
    send_request.engine = at.second, send_request.borrower = at.first, send_request.eighths = lacks;
    Borrowed& one = borrowed_leases_[send_request.id];
    one.send_request = send_request, one.from = lender, one.first_requested_at = now, one.on_request[1] = now;
    host_.send_request(lender, send_request);
  }
  std::erase_if(demand_,
                [&](const auto& one) { return one.second <= 0 || !managers_.contains(one.first.first); });
}

}  // namespace pearchute::fleet
