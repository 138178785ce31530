#include "core/key_order.h"

#include <algorithm>

namespace pearchute {

KeyOrder::Found KeyOrder::find(RequestId id) {
  const auto key = keys_.find(id);
  if (key == keys_.end()) return {};
  Line& line = lines_.at(key->second);
  const auto entry = std::ranges::find(line.entries, id, &Entry::id);
  return {&line, &*entry};
}

void KeyOrder::taken(RequestId id, OrderKey key) {
  if (!keys_.emplace(id, key).second) return;
  lines_[key].entries.push_back({.id = id});
}

std::optional<KeyOrder::Break> KeyOrder::forbids(TimePoint now, RequestId id) const {
  const auto key = keys_.find(id);
  if (key == keys_.end()) return std::nullopt;
  const Line& line = lines_.at(key->second);
  const Entry& first = line.entries.front();
  if (first.id != id) return Break::out_of_turn;
  // What has the turn may be tried again without a rest.
  if (first.attempts == 0 && now < line.rests_until) return Break::no_rest;
  return std::nullopt;
}

void KeyOrder::attempt_left(RequestId id) {
  const Found found = find(id);
  if (!found.entry) return;
  found.entry->attempts += 1;
  found.entry->out += 1;
  found.entry->called_off = false;
}

void KeyOrder::attempt_taken_back(RequestId id) {
  const Found found = find(id);
  if (!found.entry || found.entry->out == 0) return;
  found.entry->attempts -= 1;
  found.entry->out -= 1;
  drop_if_done(id);
}

void KeyOrder::rest(TimePoint now, Line& line) const {
  line.rests_until = std::max(line.rests_until, now + rest_);
}

void KeyOrder::attempt_called_off(TimePoint now, RequestId id) {
  const Found found = find(id);
  if (!found.entry || found.entry->out == 0) return;
  found.entry->called_off = true;
  rest(now, *found.line);
}

void KeyOrder::attempt_ended(TimePoint now, RequestId id, Outcome outcome) {
  const Found found = find(id);
  if (!found.entry || found.entry->out == 0) return;
  found.entry->out -= 1;
  const bool end_is_sure =
      proves_not_executed(outcome) || outcome == Outcome::succeeded || outcome == Outcome::engine_error;
  if (!end_is_sure || found.entry->called_off) rest(now, *found.line);
  drop_if_done(id);
}

void KeyOrder::over(RequestId id) {
  const Found found = find(id);
  if (!found.entry) return;
  found.entry->over = true;
  drop_if_done(id);
}

void KeyOrder::drop_if_done(RequestId id) {
  const Found found = find(id);
  if (!found.entry->over || found.entry->out > 0) return;
  std::erase_if(found.line->entries, [&](const Entry& entry) { return entry.id == id; });
  keys_.erase(id);
}

Duration KeyOrder::rest_left(TimePoint now, OrderKey key) const {
  const auto line = lines_.find(key);
  return line == lines_.end() ? Duration(0) : std::max(line->second.rests_until - now, Duration(0));
}

void KeyOrder::forget_rested(TimePoint now) {
  std::erase_if(lines_,
                [&](const auto& one) { return one.second.entries.empty() && now >= one.second.rests_until; });
}

}  // namespace pearchute
