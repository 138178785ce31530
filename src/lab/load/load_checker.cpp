#include "lab/load/load_checker.h"

#include <algorithm>

namespace pearchute::lab {

namespace {

constexpr std::chrono::milliseconds slot_width(16);
constexpr std::size_t slot_count = 1024;
// A later deadline stays in its slot for several periods.
constexpr CheckTime wheel_period = slot_width * static_cast<int>(slot_count);

}  // namespace

LoadCounts& LoadCounts::operator+=(const LoadCounts& other) {
  sent += other.sent;
  answered += other.answered;
  rejected_with_advice += other.rejected_with_advice;
  rejected_without_advice += other.rejected_without_advice;
  failed += other.failed;
  unreached += other.unreached;
  lost += other.lost;
  doubled += other.doubled;
  late += other.late;
  misdelivered += other.misdelivered;
  return *this;
}

// ---- Answers to clients ----

LoadChecker::LoadChecker(std::size_t groups) : deadline_wheel_(slot_count), counts_(groups + 1) {}

std::size_t LoadChecker::slot_of(CheckTime time) const {
  return static_cast<std::size_t>(time / slot_width) % slot_count;
}

void LoadChecker::on_sent(StatementId id, std::size_t group, CheckTime deadline) {
  operations_ += 2;
  const CheckTime lost_at = deadline + lost_slack;
  // Later statements may have an earlier deadline than the first one, so the wheel starts half a period
  // before it.
  if (!wheel_started_) wheel_position_ = lost_at - wheel_period / 2;
  wheel_started_ = true;
  // A statement that is already lost goes to the slot that is checked next.
  deadline_wheel_[slot_of(std::max(lost_at, wheel_position_))].push_back(id);
  statements_[id] = {group, deadline, false};
  ++counts_[group].sent;
  ++open_;
}

bool LoadChecker::on_answered(StatementId id, StatementAnswer answer, CheckTime now) {
  ++operations_;
  const auto at = statements_.find(id);
  if (at == statements_.end()) return on_unmatched_answer(), false;
  LoadCounts& counts = counts_[at->second.group];
  if (at->second.closed) return ++counts.doubled, false;
  switch (answer) {
    case StatementAnswer::done:
      ++counts.answered;
      break;
    case StatementAnswer::rejected_with_advice:
      ++counts.rejected_with_advice;
      break;
    case StatementAnswer::rejected_without_advice:
      ++counts.rejected_without_advice;
      break;
    case StatementAnswer::failed:
      ++counts.failed;
      break;
  }
  const bool late = now > at->second.deadline + late_slack;
  if (late) ++counts.late;
  close(at, now);
  return !late;
}

void LoadChecker::on_unmatched_answer() { ++counts_.back().doubled; }

void LoadChecker::on_misdelivered(StatementId id) {
  const auto at = statements_.find(id);
  ++(at == statements_.end() ? counts_.back() : counts_[at->second.group]).misdelivered;
}

void LoadChecker::on_connection_ended(StatementId id, CheckTime now) {
  ++operations_;
  const auto at = statements_.find(id);
  if (at == statements_.end() || at->second.closed) return;
  ++counts_[at->second.group].lost;
  close(at, now);
}

void LoadChecker::on_unreached(StatementId id, CheckTime now) {
  ++operations_;
  const auto at = statements_.find(id);
  if (at == statements_.end() || at->second.closed) return;
  ++counts_[at->second.group].unreached;
  close(at, now);
}

void LoadChecker::close(Table::iterator at, CheckTime now) {
  ++operations_;
  at->second.closed = true;
  closed_.emplace_back(now, at->first);
  --open_;
  forget_old(now);
}

void LoadChecker::forget_old(CheckTime now) {
  while (!closed_.empty() && closed_.front().first + closed_retention < now) {
    ++operations_;
    statements_.erase(closed_.front().second);
    closed_.pop_front();
  }
}

void LoadChecker::expire(CheckTime now) {
  if (!wheel_started_) return;
  // After a long pause, one period covers every slot.
  wheel_position_ = std::max(wheel_position_, now - wheel_period);
  while (wheel_position_ + slot_width <= now) {
    check_slot(deadline_wheel_[slot_of(wheel_position_)], now);
    wheel_position_ += slot_width;
  }
  check_slot(deadline_wheel_[slot_of(wheel_position_)], now);
  forget_old(now);
}

void LoadChecker::check_slot(std::vector<StatementId>& slot, CheckTime now) {
  const auto is_finished = [&](StatementId id) {
    ++operations_;
    const auto at = statements_.find(id);
    if (at == statements_.end() || at->second.closed) return true;
    if (now <= at->second.deadline + lost_slack) return false;
    on_connection_ended(id, now);
    return true;
  };
  std::erase_if(slot, is_finished);
}

// ---- Runs on engines ----

void ExecutionChecker::on_begun(StatementId id, std::uint32_t engine, bool once, CheckTime now) {
  Shard& shard = shard_of(id);
  const std::lock_guard lock(shard.mutex);
  ++shard.operations;
  ++shard.counts.begun;
  Statement& statement = shard.statements[id];
  shard.counts.overlaps += statement.running_on.size();
  if (once) shard.counts.twice_run += statement.completed_runs;
  statement.running_on.push_back(engine);
  statement.last = now;
  forget_old(shard, now);
}

void ExecutionChecker::on_ended(StatementId id, std::uint32_t engine, bool rejected, CheckTime now) {
  Shard& shard = shard_of(id);
  const std::lock_guard lock(shard.mutex);
  ++shard.operations;
  const auto at = shard.statements.find(id);
  if (at == shard.statements.end()) return;
  Statement& statement = at->second;
  const auto ended_runs = std::erase(statement.running_on, engine);
  if (!rejected) statement.completed_runs += static_cast<std::uint32_t>(ended_runs);
  statement.last = now;
  if (statement.running_on.empty()) shard.over.emplace_back(now, id);
}

void ExecutionChecker::forget_old(Shard& shard, CheckTime now) {
  while (!shard.over.empty() && shard.over.front().first + closed_retention < now) {
    ++shard.operations;
    const auto at = shard.statements.find(shard.over.front().second);
    const bool unused = at != shard.statements.end() && at->second.running_on.empty() &&
                        at->second.last + closed_retention < now;
    if (unused) shard.statements.erase(at);
    shard.over.pop_front();
  }
}

ExecutionCounts ExecutionChecker::counts() const {
  ExecutionCounts total;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    total.begun += shard.counts.begun;
    total.twice_run += shard.counts.twice_run;
    total.overlaps += shard.counts.overlaps;
  }
  return total;
}

std::uint64_t ExecutionChecker::operations() const {
  std::uint64_t total = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    total += shard.operations;
  }
  return total;
}

}  // namespace pearchute::lab
