#include "fleet/budget_leases.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// For an answer's way there and back, and for a manager that answers its agent late; an order that is heard
// later than that is given again.
constexpr Span slack = std::chrono::seconds(2);
// A borrower asks again while a third of its lease is left: two lost answers cost it nothing.
Span renews_at(Span asked, Span lease) { return asked + lease * 2 / 3; }

}  // namespace

Parts::Parts(Host& host, std::string self, std::uint64_t incarnation, Span window, Span lease)
    : host_(host),
      self_(std::move(self)),
      window_(window),
      lease_(lease),
      incarnation_(incarnation),
      last_fence_(incarnation << 32) {}

Span Parts::silent_start(Span window, Span lease) { return slack + lease + 2 * window; }

bool Parts::keep() {
  std::map<std::string, Loan> loans;
  for (const auto& [id, lent] : lent_) loans[id] = lent.loan;
  return host_.keep(loans);
}

void Parts::remembered(Span now, const std::map<std::string, Loan>& loans, bool lost) {
  if (lost) quiet_until_ = now + silent_start(window_, lease_);
  for (const auto& [id, loan] : loans) {
    // Whether it was granted is not known: it is taken to have been, just now. Nor whether its manager has
    // heard: it is taken not to have, and a renewal waits for that, and a window.
    Lent& lent = lent_[id];
    lent.loan = loan, lent.granted = now, lent.last.id = id;
  }
}

void Parts::manages(const std::map<std::string, int>& managers) {
  managers_ = managers;
  std::erase_if(ordered_, [&](const At& at) { return !managers.contains(at.first); });
}

void Parts::began(Span now, const std::string& manager) {
  std::erase_if(ordered_, [&](const At& at) { return at.first == manager; });
  std::set<At> again;
  for (const auto& [id, lent] : lent_) {
    if (lent.loan.lender == manager) again.insert({manager, lent.loan.engine});
  }
  for (const auto& [at, eighths] : wants_) {
    if (at.first == manager) again.insert(at);
  }
  for (const At& at : again) order(now, at);
}

int Parts::base(const std::string& manager) const {
  const auto at = managers_.find(manager);
  return at == managers_.end() ? 0 : at->second;
}

int Parts::needs(const At& at) const {
  const auto wanted = wants_.find(at);
  return wanted == wants_.end() ? 0 : wanted->second;
}

int Parts::lent_by(const At& at) const {
  int sum = 0;
  for (const auto& [id, lent] : lent_) {
    if (lent.loan.lender == at.first && lent.loan.engine == at.second) sum += lent.loan.eighths;
  }
  return sum;
}

int Parts::borrowed_by(Span now, const At& at) const {
  int sum = 0;
  for (const auto& [id, one] : borrowed_) {
    if (one.ask.borrower == at.first && one.ask.engine == at.second && now < one.until) sum += one.eighths;
  }
  return sum;
}

int Parts::share(Span now, const std::string& manager, const ColdEngine& engine) const {
  const At at{manager, engine};
  return base(manager) - lent_by(at) + borrowed_by(now, at);
}

// What a manager has no use for. One that borrows there lends nothing.
int Parts::spare(Span now, const At& at) const {
  if (!managers_.contains(at.first) || borrowed_by(now, at) > 0) return 0;
  return base(at.first) - lent_by(at) - std::clamp(needs(at), kept_back, whole);
}

// Each order has a fence of its own, so that one that comes late is known for what it is.
void Parts::order(Span now, const At& at) {
  // Who does not know what it has lent orders nothing.
  if (!managers_.contains(at.first) || (quiet_until_ && now < *quiet_until_)) return;
  ordered_.insert(at);
  Span until = now;
  for (const auto& [id, lent] : lent_) {
    // Over every way the loan may still take: the order heard late, a window, the answer, the lease, a
    // window.
    if (lent.loan.lender == at.first && lent.loan.engine == at.second)
      until = now + silent_start(window_, lease_);
  }
  const bool lends = until > now;
  if (!lends) {
    until = now + lease_;
    for (const auto& [id, one] : borrowed_) {
      // The least of them: what is left of the others is told again then.
      if (one.ask.borrower == at.first && one.ask.engine == at.second && now < one.until)
        until = std::min(until, one.until);
    }
  }
  ++last_fence_;
  for (auto& [id, lent] : lent_) {
    if (lent.loan.lender == at.first && lent.loan.engine == at.second)
      lent.told_until = until, lent.told_fence = last_fence_;
  }
  host_.tell(at.first, at.second, share(now, at.first, at.second), until, last_fence_);
}

// ---- Lending

void Parts::asked(Span now, const std::string& agent, const LoanAsk& ask) {
  const auto known = lent_.find(ask.id);
  if (known != lent_.end()) {
    Lent& lent = known->second;
    if (lent.loan.to != agent) return;        // an id that somebody else made up
    if (ask.round < lent.last.round) return;  // a copy that comes late
    lent.last = ask;
    if (!lent.granted) return lent.answers = true, void();  // still being stopped
    const At at{lent.loan.lender, lent.loan.engine};
    // Renewed while it is used, and its owner could not use it itself. At its end it is not: it may be over
    // there.
    const bool of_use = 2 * ask.used >= lent.loan.eighths;
    const bool owner_needs = needs(at) > base(at.first) - lent_by(at);
    if (!of_use || owner_needs || !managers_.contains(at.first) || now >= *lent.granted + lease_)
      return host_.answer(agent, {ask.id, 0, ask.round});
    lent.answers = true;
    order(now, at);  // its manager has to hear that this lasts longer, before the answer goes
    return;
  }
  const bool mute = quiet_until_ && now < *quiet_until_;
  At best;
  int most = 0;
  for (const auto& [manager, even] : managers_) {
    const At at{manager, ask.engine};
    if (const int has = spare(now, at); !mute && manager != ask.borrower && has > most) best = at, most = has;
  }
  most = std::min(most, ask.eighths);
  if (most <= 0) return host_.answer(agent, {ask.id, 0, ask.round});
  Lent& lent = lent_[ask.id];
  lent.loan = {ask.engine, best.first, ask.borrower, agent, most};
  lent.last = ask, lent.answers = true;
  // Intent before act. Where it can't be written nothing has happened yet.
  if (!keep()) {
    lent_.erase(ask.id);
    return host_.answer(agent, {ask.id, 0, ask.round});
  }
  order(now, best);
}

void Parts::heard(Span now, const std::string& manager, const ColdEngine& engine, std::uint64_t fence) {
  for (auto& [id, lent] : lent_) {
    if (lent.loan.lender != manager || lent.loan.engine != engine || lent.told_fence != fence) continue;
    // Held back all along only where the order before lasted until this one was heard, at the latest by now;
    // else it may have sent by its whole part in between, and a window has to pass again.
    if (!lent.stopped || now >= lent.held_until) lent.stopped = now;
    lent.held_until = lent.told_until, lent.told_fence = 0;
  }
  grant_due(now);
}

void Parts::grant_due(Span now) {
  for (auto& [id, lent] : lent_) {
    if (!lent.answers || !lent.stopped || lent.told_fence != 0) continue;
    // What was sent before it stopped still counts for a window.
    if (now < *lent.stopped + window_) continue;
    // Its manager must be held back until all of the loan, and a window, is over.
    if (lent.told_until < now + lease_ + window_) {
      order(now, {lent.loan.lender, lent.loan.engine});
      continue;
    }
    lent.answers = false, lent.granted = now;
    host_.answer(lent.loan.to, {id, lent.loan.eighths, lent.last.round});
  }
}

// ---- Borrowing

void Parts::wants(Span now, const std::string& manager, const ColdEngine& engine, int eighths) {
  const At at{manager, engine};
  wants_[at] = eighths;
  if (eighths > 0 && !ordered_.contains(at)) order(now, at);
}

void Parts::answered(Span now, const std::string& agent, const LoanAnswer& answer) {
  const auto at = borrowed_.find(answer.id);
  if (at == borrowed_.end() || at->second.from != agent) return;
  Borrowed& one = at->second;
  if (answer.eighths <= 0) return one.over = true, void();
  const auto round = one.asked.find(answer.round);
  if (round == one.asked.end()) return;
  // Counted from when it asked what this answers: whatever way the answer took, the lender counts longer.
  const Span until = round->second + lease_;
  if (one.over || until <= now || until <= one.until) return;
  one.eighths = answer.eighths, one.until = until;
  order(now, {one.ask.borrower, one.ask.engine});
}

void Parts::woken(Span now, const std::vector<std::string>& lenders) {
  if (quiet_until_ && now >= *quiet_until_) quiet_until_.reset();
  // Loans that are over: the lender has its part back.
  std::set<At> changed;
  bool fewer = false;
  for (auto it = lent_.begin(); it != lent_.end();) {
    const Lent& lent = it->second;
    const bool ran_out = lent.granted && now >= *lent.granted + lease_ + window_;
    // One whose manager never heard was never granted, and is not answered any more.
    const bool in_vain = !lent.granted && now >= lent.told_until;
    if (!ran_out && !in_vain) {
      ++it;
      continue;
    }
    changed.insert({lent.loan.lender, lent.loan.engine});
    it = lent_.erase(it), fewer = true;
  }
  if (fewer) keep();
  for (auto it = borrowed_.begin(); it != borrowed_.end();) {
    Borrowed& one = it->second;
    const At at{one.ask.borrower, one.ask.engine};
    const bool held = now < one.until;
    if (!held && (one.over || one.eighths > 0 || now >= one.first_asked + lease_)) {
      if (one.eighths > 0) changed.insert(at);
      it = borrowed_.erase(it);
      continue;
    }
    const Span last = one.asked.rbegin()->second;
    if (!one.over && now >= last + slack / 2 && (!held || now >= renews_at(one.until - lease_, lease_))) {
      // The first ask is said again as it was: it is counted from when it was first said.
      if (held) one.asked[++one.ask.round] = now;
      one.ask.used = std::clamp(needs(at) - base(at.first), 0, one.eighths);
      host_.ask(one.from, one.ask);
    }
    // An answer to what was asked a lease ago is of no use.
    while (one.asked.size() > 1 && one.asked.begin()->second + lease_ <= now)
      one.asked.erase(one.asked.begin());
    ++it;
  }
  for (const At& at : changed) order(now, at);
  grant_due(now);
  if (lenders.empty() || (quiet_until_ && now < *quiet_until_)) return;
  // Who lacks most for its need asks first, one lender at a time, each time another one.
  for (const auto& [at, wanted] : wants_) {
    if (!managers_.contains(at.first) || lent_by(at) > 0) continue;
    int coming = 0, open = 0;
    for (const auto& [id, one] : borrowed_) {
      if (one.ask.borrower != at.first || one.ask.engine != at.second) continue;
      coming += one.eighths, open += one.eighths == 0 && !one.over;
    }
    const int lacks = wanted - base(at.first) - coming;
    if (lacks <= 0 || open > 0) continue;
    const std::string& lender = lenders[turn_++ % lenders.size()];
    LoanAsk ask;
    ask.id = self_ + "-" + std::to_string(incarnation_) + "-" + std::to_string(next_ask_++);
    ask.engine = at.second, ask.borrower = at.first, ask.eighths = lacks;
    Borrowed& one = borrowed_[ask.id];
    one.ask = ask, one.from = lender, one.first_asked = now, one.asked[1] = now;
    host_.ask(lender, ask);
  }
  std::erase_if(wants_,
                [&](const auto& one) { return one.second <= 0 || !managers_.contains(one.first.first); });
}

}  // namespace pearchute::fleet
