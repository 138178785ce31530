#include "engines/stream_schedule.h"

#include <algorithm>

namespace pearchute::net {

StreamSchedule::Stream* StreamSchedule::find(StreamId stream) {
  const auto found = std::ranges::find(streams_, stream, &Stream::id);
  return found == streams_.end() ? nullptr : &*found;
}

const StreamSchedule::Stream* StreamSchedule::find(StreamId stream) const {
  const auto found = std::ranges::find(streams_, stream, &Stream::id);
  return found == streams_.end() ? nullptr : &*found;
}

// A stream that delivers is in front, and `due` closes the others.
bool StreamSchedule::delivers() const { return !streams_.empty() && streams_.front().delivers_since; }

bool StreamSchedule::is_newest(StreamId stream) const { return stream.value == last_id_; }

TimePoint StreamSchedule::timeout_of(const Stream& stream) {
  if (stream.delivers_since) return stream.last_data_at + silence_timeout;
  return stream.opened_at + first_data_timeout;
}

StreamEnd StreamSchedule::end_of(const Stream& stream) {
  if (stream.delivers_since) return StreamEnd::silent;
  return stream.is_connected ? StreamEnd::no_data : StreamEnd::not_opened;
}

StreamSchedule::Actions StreamSchedule::due(TimePoint now) {
  Actions actions;
  const std::vector<Stream> open = streams_;
  for (const Stream& stream : open) {
    if (delivers() && !stream.delivers_since) {
      actions.closes.push_back({stream.id, StreamEnd::not_needed});
    } else if (now >= timeout_of(stream)) {
      actions.closes.push_back({stream.id, end_of(stream)});
      if (stream.delivers_since) open_after_backoff(now, stream);
    } else {
      continue;
    }
    std::erase_if(streams_, [&](const Stream& one) { return one.id == stream.id; });
  }
  actions.opens = !delivers() && now >= open_at_;
  if (actions.opens && streams_.size() >= max_open_streams) {
    actions.closes.push_back({streams_.front().id, StreamEnd::too_many_open});
    streams_.erase(streams_.begin());
  }
  return actions;
}

TimePoint StreamSchedule::next_due_at() const {
  std::optional<TimePoint> next;
  if (!delivers()) next = open_at_;
  for (const Stream& stream : streams_) {
    const TimePoint at = timeout_of(stream);
    next = std::min(next.value_or(at), at);
  }
  return next.value_or(open_at_);
}

// Until its connection is open, the next stream is due after a shorter time, since a lost packet delays a
// connect by a second and more.
StreamId StreamSchedule::on_opening(TimePoint now) {
  const StreamId id{++last_id_};
  streams_.push_back({.id = id, .opened_at = now, .last_data_at = now});
  open_at_ = now + interval_;
  interval_ = std::min<Duration>(2 * interval_, max_interval);
  return id;
}

void StreamSchedule::on_connected(TimePoint now, StreamId stream) {
  Stream* connected = find(stream);
  if (!connected) return;
  connected->is_connected = true;
  connected->last_data_at = now;
  interval_ = min_interval;
  if (is_newest(stream)) open_at_ = now + max_interval;
}

void StreamSchedule::on_data(TimePoint now, StreamId stream, bool has_body) {
  Stream* sender = find(stream);
  if (!sender) return;
  sender->last_data_at = now;
  if (!has_body || sender->delivers_since) return;
  sender->delivers_since = now;
  std::iter_swap(streams_.begin(), std::ranges::find(streams_, stream, &Stream::id));
}

void StreamSchedule::on_ended(TimePoint now, StreamId stream) {
  const Stream* found = find(stream);
  if (!found) return;
  const Stream ended = *found;
  std::erase_if(streams_, [&](const Stream& one) { return one.id == stream; });
  if (ended.delivers_since || is_newest(stream)) open_after_backoff(now, ended);
}

// Guards against discovery that rejects connections, or ends streams, as soon as they are opened: only after
// a stream that lasted is the next one opened without backoff.
void StreamSchedule::open_after_backoff(TimePoint now, const Stream& ended) {
  if (ended.delivers_since && now - ended.opened_at >= stable_after) backoff_ = Duration(0);
  open_at_ = now + backoff_;
  backoff_ = std::clamp<Duration>(2 * backoff_, min_backoff, max_backoff);
}

void StreamSchedule::restart(TimePoint now) {
  streams_.clear();
  backoff_ = Duration(0);
  interval_ = min_interval;
  open_at_ = now;
}

bool StreamSchedule::is_current(TimePoint now, StreamId stream) const {
  const Stream* found = find(stream);
  return found && found->delivers_since && now - *found->delivers_since >= stable_after;
}

}  // namespace pearchute::net
