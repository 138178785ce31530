#include "fleet/budget_leases.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// For a response's way there and back, and for a manager that is slow to acknowledge; an order that is
// acknowledged later than that is given again.
constexpr Duration message_allowance = std::chrono::seconds(2);
// The least time between two requests for one lease.
constexpr Duration request_interval = message_allowance / 2;
// The incarnation is the upper half of a fence, a counter the lower one.
constexpr int fence_counter_bits = 32;

// A borrower renews while a third of its lease is left, so that it survives two lost responses.
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
    // Whether it was granted is not known, nor whether its lender had acknowledged: the safe assumption is
    // that it was granted just now, and that a renewal has to wait for the acknowledgement and a window.
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

// What a manager has no use for. One that borrows at the engine lends nothing there.
int BudgetLeases::lendable(TimePoint now, const ShareKey& key) const {
  if (!managers_.contains(key.first) || borrowed_for(now, key) > 0) return 0;
  return own_share_of(key.first) - lent_from(key) -
         std::clamp(demand_of(key), min_retained_share, full_share);
}

// Whether the leases granted by the previous incarnation are unknown and may still hold.
bool BudgetLeases::is_quiet(TimePoint now) const { return quiet_until_ && now < *quiet_until_; }

// Until when an order that is given now holds.
TimePoint BudgetLeases::order_expiry(TimePoint now, const ShareKey& key) const {
  const bool lends = std::ranges::any_of(granted_leases_,
                                         [&](const auto& granted) { return key_of(granted.second) == key; });
  // For the longest way that the lease may take: a late acknowledgement, a window, the response, the lease,
  // and a window more.
  if (lends) return now + startup_quiet_period(window_, lease_);
  TimePoint until = now + lease_;
  for (const auto& [id, borrowed] : borrowed_leases_) {
    // The first that ends: what is left of the others is ordered again then.
    if (key_of(borrowed) == key && now < borrowed.until) until = std::min(until, borrowed.until);
  }
  return until;
}

// Each order has a fence of its own, so that a delayed older one is recognized.
void BudgetLeases::send_order(TimePoint now, const ShareKey& key) {
  // While it is not known what was lent, no share is known.
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
  if (granted.lease.to != agent) return;                   // not the agent that the id was granted to
  if (request.round < granted.last_request.round) return;  // a delayed copy
  granted.last_request = request;
  if (!granted.granted_at) {  // its lender still has to reduce its share
    granted.response_due = true;
    return;
  }
  const ShareKey key = key_of(granted);
  const bool is_used = 2 * request.used >= granted.lease.eighths;
  const bool lender_needs_it = demand_of(key) > own_share_of(key.first) - lent_from(key);
  // At its end it may already be over for the borrower, so it is not renewed then.
  const bool has_ended = now >= *granted.granted_at + lease_;
  if (!is_used || lender_needs_it || !managers_.contains(key.first) || has_ended)
    return host_.send_response(agent, {request.id, 0, request.round});
  granted.response_due = true;
  send_order(now, key);  // its lender has to acknowledge the longer time before the response goes out
}

void BudgetLeases::grant_new(TimePoint now, const std::string& agent, const BudgetLeaseRequest& request) {
  std::string lender;
  int most = 0;
  for (const auto& [manager, own_share] : managers_) {
    const int has = lendable(now, {manager, request.engine});
    if (is_quiet(now) || manager == request.borrower || has <= most) continue;
    lender = manager;
    most = has;
  }
  const int eighths = std::min(most, request.eighths);
  const BudgetLeaseResponse refusal{request.id, 0, request.round};
  if (eighths <= 0) return host_.send_response(agent, refusal);
  GrantedLease& granted = granted_leases_[request.id];
  granted.lease = {request.engine, lender, request.borrower, agent, eighths};
  granted.last_request = request;
  granted.response_due = true;
  // Durable before it takes effect. Where it can't be written nothing has happened yet.
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
    // The share was reduced without a gap only if the order before lasted until now, by when this one was
    // taken at the latest. Otherwise the lender may have used its whole share in between, and a window has to
    // pass again.
    if (!granted.reduced_since || now >= granted.acknowledged_until) granted.reduced_since = now;
    granted.acknowledged_until = granted.ordered_until;
    granted.unacknowledged_fence = 0;
  }
  send_due_responses(now);
}

void BudgetLeases::send_due_responses(TimePoint now) {
  for (auto& [id, granted] : granted_leases_) {
    if (!granted.response_due || !granted.reduced_since || granted.unacknowledged_fence != 0) continue;
    // What was sent by the whole share still counts for a window.
    if (now < *granted.reduced_since + window_) continue;
    // The share has to stay reduced until the lease, and a window, is over.
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
    const bool ran_out = granted.granted_at && now >= *granted.granted_at + lease_ + window_;
    // One whose lender has not acknowledged in time was never granted, and is not answered any more.
    const bool never_granted = !granted.granted_at && now >= granted.ordered_until;
    if (!ran_out && !never_granted) return false;
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
  // Counted from the request that is answered: however long the response took, the lender counts longer.
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
    // The response to a request that is older than a lease is of no use.
    auto& requested_at = borrowed.requested_at;
    while (requested_at.size() > 1 && requested_at.begin()->second + lease_ <= now)
      requested_at.erase(requested_at.begin());
    ++it;
  }
}

void BudgetLeases::renew_borrowed(TimePoint now, BorrowedLease& borrowed) {
  const TimePoint last_requested_at = borrowed.requested_at.rbegin()->second;
  if (borrowed.ended || now < last_requested_at + request_interval) return;
  const bool in_force = now < borrowed.until;
  if (in_force && now < renewal_time(borrowed.until - lease_, lease_)) return;
  // The first request is repeated as it was: the lease is counted from when it was first sent.
  if (in_force) borrowed.requested_at[++borrowed.request.round] = now;
  const ShareKey key = key_of(borrowed);
  borrowed.request.used = std::clamp(demand_of(key) - own_share_of(key.first), 0, borrowed.eighths);
  host_.send_request(borrowed.lender_agent, borrowed.request);
}

// Requests what each manager lacks, from one lender at a time, another one each time.
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
