#include "fleet/budget_leases.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// Allowance for a message's round trip and for a manager that is slow to acknowledge an order. An order that
// is acknowledged later than this is sent again.
constexpr Duration message_allowance = std::chrono::seconds(2);
// Minimum time between two requests for one lease.
constexpr Duration min_request_interval = message_allowance / 2;
// The upper 32 bits of a fence are the agent's incarnation, the lower 32 bits a counter.
constexpr int fence_counter_bits = 32;

// A borrower requests the renewal when a third of its lease is left, so that the lease survives two lost
// responses.
TimePoint renewal_time(TimePoint requested_at, Duration lease) { return requested_at + lease * 2 / 3; }

}  // namespace

BudgetLeases::BudgetLeases(Host& host, std::string self, std::uint64_t incarnation, Duration window,
                           Duration lease)
    : host_(host),
      self_(std::move(self)),
      window_(window),
      lease_(lease),
      incarnation_(incarnation),
      last_fence_(incarnation << fence_counter_bits) {}

Duration BudgetLeases::startup_quiet_period(Duration window, Duration lease) {
  return message_allowance + lease + 2 * window;
}

bool BudgetLeases::persist() {
  std::map<std::string, BudgetLease> leases;
  for (const auto& [id, granted] : granted_leases_) leases[id] = granted.lease;
  return host_.persist(leases);
}

void BudgetLeases::restore(TimePoint now, const std::map<std::string, BudgetLease>& leases, bool lost) {
  if (lost) quiet_until_ = now + startup_quiet_period(window_, lease_);
  for (const auto& [id, lease] : leases) {
    // The disk records neither whether the lease was granted nor whether its lender had acknowledged the
    // reduced share. The safe assumption is that it was granted just now, and that a renewal has to wait for
    // an acknowledgement and then a window.
    GrantedLease& granted = granted_leases_[id];
    granted.lease = lease;
    granted.granted_at = now;
    granted.last_request.id = id;
  }
}

void BudgetLeases::set_managers(const std::map<std::string, int>& managers) {
  managers_ = managers;
  std::erase_if(ordered_keys_, [&](const ShareKey& key) { return !managers.contains(key.first); });
}

void BudgetLeases::on_manager_restarted(TimePoint now, const std::string& manager) {
  std::erase_if(ordered_keys_, [&](const ShareKey& key) { return key.first == manager; });
  std::set<ShareKey> to_order;
  for (const auto& [id, granted] : granted_leases_) {
    if (granted.lease.lender == manager) to_order.insert(key_of(granted));
  }
  for (const auto& [key, eighths] : demand_) {
    if (key.first == manager) to_order.insert(key);
  }
  for (const ShareKey& key : to_order) send_order(now, key);
}

// ---- Shares

BudgetLeases::ShareKey BudgetLeases::key_of(const GrantedLease& granted) {
  return {granted.lease.lender, granted.lease.engine};
}

BudgetLeases::ShareKey BudgetLeases::key_of(const BorrowedLease& borrowed) {
  return {borrowed.request.borrower, borrowed.request.engine};
}

int BudgetLeases::own_share_of(const std::string& manager) const {
  const auto found = managers_.find(manager);
  return found == managers_.end() ? 0 : found->second;
}

int BudgetLeases::demand_of(const ShareKey& key) const {
  const auto found = demand_.find(key);
  return found == demand_.end() ? 0 : found->second;
}

int BudgetLeases::lent_from(const ShareKey& key) const {
  int sum = 0;
  for (const auto& [id, granted] : granted_leases_) {
    if (key_of(granted) == key) sum += granted.lease.eighths;
  }
  return sum;
}

int BudgetLeases::borrowed_for(TimePoint now, const ShareKey& key) const {
  int sum = 0;
  for (const auto& [id, borrowed] : borrowed_leases_) {
    if (key_of(borrowed) == key && now < borrowed.until) sum += borrowed.eighths;
  }
  return sum;
}

int BudgetLeases::share(TimePoint now, const std::string& manager, const WarmingEngine& engine) const {
  const ShareKey key{manager, engine};
  return own_share_of(manager) - lent_from(key) + borrowed_for(now, key);
}

// Returns the eighths of its share that a manager does not need. A manager that borrows at an engine lends
// nothing there.
int BudgetLeases::lendable(TimePoint now, const ShareKey& key) const {
  if (!managers_.contains(key.first) || borrowed_for(now, key) > 0) return 0;
  return own_share_of(key.first) - lent_from(key) -
         std::clamp(demand_of(key), min_retained_share, full_share);
}

// Returns whether leases granted by the previous incarnation, which are unknown here, may still be in force.
bool BudgetLeases::is_quiet(TimePoint now) const { return quiet_until_ && now < *quiet_until_; }

// Returns the time until which an order sent now is valid.
TimePoint BudgetLeases::order_expiry(TimePoint now, const ShareKey& key) const {
  const bool lends = std::ranges::any_of(granted_leases_,
                                         [&](const auto& granted) { return key_of(granted.second) == key; });
  // A lender's order has to outlast the slowest course of a lease: a late acknowledgement, a window, the
  // response's way, the lease itself, and one more window.
  if (lends) return now + startup_quiet_period(window_, lease_);
  TimePoint until = now + lease_;
  for (const auto& [id, borrowed] : borrowed_leases_) {
    // The order ends with the first lease that ends; a new order then covers the remaining leases.
    if (key_of(borrowed) == key && now < borrowed.until) until = std::min(until, borrowed.until);
  }
  return until;
}

// Orders the manager to use its current share. Each order has a new fence, so that the manager recognizes a
// delayed older order.
void BudgetLeases::send_order(TimePoint now, const ShareKey& key) {
  // While the leases of the previous incarnation are unknown, the manager's share is unknown, too.
  if (!managers_.contains(key.first) || is_quiet(now)) return;
  ordered_keys_.insert(key);
  const TimePoint until = order_expiry(now, key);
  ++last_fence_;
  for (auto& [id, granted] : granted_leases_) {
    if (key_of(granted) != key) continue;
    granted.ordered_until = until;
    granted.unacknowledged_fence = last_fence_;
  }
  host_.send_share(key.first, key.second, share(now, key.first, key.second), until, last_fence_);
}

// ---- Lending

void BudgetLeases::on_request(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request) {
  const auto found = granted_leases_.find(request.id);
  if (found == granted_leases_.end()) return grant_new(now, agent, request);
  renew_granted(now, agent, request, found->second);
}

void BudgetLeases::renew_granted(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request,
                                 GrantedLease& granted) {
  if (granted.lease.to != agent) return;                   // this lease id belongs to another agent
  if (request.round < granted.last_request.round) return;  // a delayed copy of an earlier request
  granted.last_request = request;
  if (!granted.granted_at) {  // the lender still has to reduce its share; the response follows then
    granted.response_due = true;
    return;
  }
  const ShareKey key = key_of(granted);
  const bool is_used = 2 * request.used >= granted.lease.eighths;
  const bool lender_needs_it = demand_of(key) > own_share_of(key.first) - lent_from(key);
  // A lease that has reached its end is not renewed, because it may be over at the borrower already.
  const bool has_ended = now >= *granted.granted_at + lease_;
  if (!is_used || lender_needs_it || !managers_.contains(key.first) || has_ended)
    return host_.send_response(agent, {request.id, 0, request.round});
  granted.response_due = true;
  send_order(now, key);  // the lender has to acknowledge the extended order before the response is sent
}

void BudgetLeases::grant_new(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request) {
  std::string lender;
  int max_lendable = 0;
  for (const auto& [manager, own_share] : managers_) {
    const int available = lendable(now, {manager, request.engine});
    if (is_quiet(now) || manager == request.borrower || available <= max_lendable) continue;
    lender = manager;
    max_lendable = available;
  }
  const int eighths = std::min(max_lendable, request.eighths);
  const BudgetLeaseResponse refusal{request.id, 0, request.round};
  if (eighths <= 0) return host_.send_response(agent, refusal);
  GrantedLease& granted = granted_leases_[request.id];
  granted.lease = {request.engine, lender, request.borrower, agent, eighths};
  granted.last_request = request;
  granted.response_due = true;
  // The lease is durable before it takes effect. If the write fails, the request is refused and nothing has
  // changed.
  if (!persist()) {
    granted_leases_.erase(request.id);
    return host_.send_response(agent, refusal);
  }
  send_order(now, {lender, request.engine});
}

void BudgetLeases::on_share_acknowledged(TimePoint now, const std::string& manager,
                                         const WarmingEngine& engine, std::uint64_t fence) {
  for (auto& [id, granted] : granted_leases_) {
    if (key_of(granted) != ShareKey{manager, engine} || granted.unacknowledged_fence != fence) continue;
    // The lender's share was reduced without a gap only if the previous order is still valid now, since the
    // manager accepted this order no later than now. Otherwise the lender may have used its full share in
    // between, and a window has to pass again.
    if (!granted.reduced_since || now >= granted.acknowledged_until) granted.reduced_since = now;
    granted.acknowledged_until = granted.ordered_until;
    granted.unacknowledged_fence = 0;
  }
  send_due_responses(now);
}

void BudgetLeases::send_due_responses(TimePoint now) {
  for (auto& [id, granted] : granted_leases_) {
    if (!granted.response_due || !granted.reduced_since || granted.unacknowledged_fence != 0) continue;
    // Work that the lender sent under its full share counts against the budget for one window.
    if (now < *granted.reduced_since + window_) continue;
    // The lender's share has to stay reduced until one window after the end of the lease.
    if (granted.ordered_until < now + lease_ + window_) {
      send_order(now, key_of(granted));
      continue;
    }
    granted.response_due = false;
    granted.granted_at = now;
    host_.send_response(granted.lease.to, {id, granted.lease.eighths, granted.last_request.round});
  }
}

void BudgetLeases::expire_granted(TimePoint now, std::set<ShareKey>& changed) {
  const std::size_t before = granted_leases_.size();
  std::erase_if(granted_leases_, [&](const auto& entry) {
    const GrantedLease& granted = entry.second;
    const bool has_expired = granted.granted_at && now >= *granted.granted_at + lease_ + window_;
    // A lease whose lender has not acknowledged in time was never granted; its request is not answered.
    const bool never_granted = !granted.granted_at && now >= granted.ordered_until;
    if (!has_expired && !never_granted) return false;
    changed.insert(key_of(granted));
    return true;
  });
  if (granted_leases_.size() < before) persist();
}

// ---- Borrowing

void BudgetLeases::set_demand(TimePoint now, const std::string& manager, const WarmingEngine& engine,
                              int eighths) {
  const ShareKey key{manager, engine};
  demand_[key] = eighths;
  if (eighths > 0 && !ordered_keys_.contains(key)) send_order(now, key);
}

void BudgetLeases::on_response(TimePoint now, const std::string& agent, const BudgetLeaseResponse& response) {
  const auto found = borrowed_leases_.find(response.id);
  if (found == borrowed_leases_.end() || found->second.lender_agent != agent) return;
  BorrowedLease& borrowed = found->second;
  if (response.eighths <= 0) {
    borrowed.ended = true;
    return;
  }
  const auto requested = borrowed.requested_at.find(response.round);
  if (requested == borrowed.requested_at.end()) return;
  // The lease is counted from the request that this response answers, so the lender always counts longer,
  // whatever the response took.
  const TimePoint until = requested->second + lease_;
  if (borrowed.ended || until <= now || until <= borrowed.until) return;
  borrowed.eighths = response.eighths;
  borrowed.until = until;
  send_order(now, key_of(borrowed));
}

void BudgetLeases::renew_or_expire_borrowed(TimePoint now, std::set<ShareKey>& changed) {
  for (auto it = borrowed_leases_.begin(); it != borrowed_leases_.end();) {
    BorrowedLease& borrowed = it->second;
    const bool in_force = now < borrowed.until;
    const bool unanswered = now >= borrowed.first_requested_at + lease_;
    if (!in_force && (borrowed.ended || borrowed.eighths > 0 || unanswered)) {
      if (borrowed.eighths > 0) changed.insert(key_of(borrowed));
      it = borrowed_leases_.erase(it);
      continue;
    }
    renew_borrowed(now, borrowed);
    // Requests older than a lease are forgotten: a response to one of them could only grant an expired lease.
    auto& requested_at = borrowed.requested_at;
    while (requested_at.size() > 1 && requested_at.begin()->second + lease_ <= now)
      requested_at.erase(requested_at.begin());
    ++it;
  }
}

void BudgetLeases::renew_borrowed(TimePoint now, BorrowedLease& borrowed) {
  const TimePoint last_requested_at = borrowed.requested_at.rbegin()->second;
  if (borrowed.ended || now < last_requested_at + min_request_interval) return;
  const bool in_force = now < borrowed.until;
  if (in_force && now < renewal_time(borrowed.until - lease_, lease_)) return;
  // An unanswered first request is repeated under its round, so the lease is counted from the first sending.
  if (in_force) borrowed.requested_at[++borrowed.request.round] = now;
  const ShareKey key = key_of(borrowed);
  borrowed.request.used = std::clamp(demand_of(key) - own_share_of(key.first), 0, borrowed.eighths);
  host_.send_request(borrowed.lender_agent, borrowed.request);
}

// Requests the share that each manager lacks, from one lending agent at a time and from the next one each
// time.
void BudgetLeases::request_leases(TimePoint now, const std::vector<std::string>& lenders) {
  for (const auto& [key, wanted] : demand_) {
    if (!managers_.contains(key.first) || lent_from(key) > 0) continue;
    int borrowed_eighths = 0;
    bool response_pending = false;
    for (const auto& [id, borrowed] : borrowed_leases_) {
      if (key_of(borrowed) != key) continue;
      borrowed_eighths += borrowed.eighths;
      response_pending = response_pending || (borrowed.eighths == 0 && !borrowed.ended);
    }
    const int lacking = wanted - own_share_of(key.first) - borrowed_eighths;
    if (lacking <= 0 || response_pending) continue;
    request_lease(now, key, lacking, lenders[next_lender_++ % lenders.size()]);
  }
}

void BudgetLeases::request_lease(TimePoint now, const ShareKey& key, int eighths, const std::string& lender) {
  BudgetLeaseRequest request;
  request.id = self_ + "-" + std::to_string(incarnation_) + "-" + std::to_string(next_request_number_++);
  request.engine = key.second;
  request.borrower = key.first;
  request.eighths = eighths;
  BorrowedLease& borrowed = borrowed_leases_[request.id];
  borrowed.request = request;
  borrowed.lender_agent = lender;
  borrowed.first_requested_at = now;
  borrowed.requested_at[request.round] = now;
  host_.send_request(lender, request);
}

void BudgetLeases::on_timer(TimePoint now, const std::vector<std::string>& lenders) {
  if (quiet_until_ && now >= *quiet_until_) quiet_until_.reset();
  std::set<ShareKey> changed;
  expire_granted(now, changed);
  renew_or_expire_borrowed(now, changed);
  for (const ShareKey& key : changed) send_order(now, key);
  send_due_responses(now);
  if (lenders.empty() || is_quiet(now)) return;
  request_leases(now, lenders);
  std::erase_if(demand_, [&](const auto& demand) {
    return demand.second <= 0 || !managers_.contains(demand.first.first);
  });
}

}  // namespace pearchute::fleet
