// Decides when streams to discovery are opened and closed. One stream delivers the endpoint list: the first
// that has sent a part of its body. Until there is one, a stream that says nothing is kept, since discovery
// may be slow, and further streams are opened beside it at intervals that stay short however long discovery
// says nothing. So discovery that answers slowly is waited for, and discovery that works again after an
// outage is asked within an interval.
//
// Invariants, after each call of `due`: at most one stream delivers, and then no other stream is open; at
// most max_open_streams are open. No I/O, no clock. Owned by EndpointListClient.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

using StreamId = Id<struct StreamTag, std::uint64_t>;

// Why a stream is closed.
enum class StreamEnd {
  silent,        // it has delivered events and is silent for longer than discovery is between comments
  no_data,       // it has sent no part of its body in the time that slow discovery needs
  not_opened,    // the same, and the connection is not open yet
  not_needed,    // another stream delivers
  too_many_open  // it is the oldest, and another one is opened
};

class StreamSchedule {
 public:
  static constexpr std::size_t max_open_streams = 6;

  // A stream that is to be closed, and why.
  struct Close {
    StreamId stream;
    StreamEnd reason;
  };
  // What to do now: first the closes, then whether to open a stream.
  struct Actions {
    std::vector<Close> closes;
    bool opens = false;
  };
  // Returns what is due. The streams to close are forgotten; one that is opened is reported by on_opening.
  Actions due(TimePoint now);
  // When `due` has to be called next, if nothing happens before.
  TimePoint next_due_at() const;

  // A connection for a new stream is being opened; returns the stream's id.
  StreamId on_opening(TimePoint now);
  void on_connected(TimePoint now, StreamId stream);
  // Bytes have arrived. `has_body`: a part of the response's body has arrived on this stream.
  void on_data(TimePoint now, StreamId stream, bool has_body);
  // The stream was closed by discovery, or is closed because its response is invalid.
  void on_ended(TimePoint now, StreamId stream);
  // Discovery has another address: all streams are closed by the caller and forgotten, a new one is due at
  // once.
  void restart(TimePoint now);
  // Whether the stream has delivered for so long that it has sent all events that were missing.
  bool is_current(TimePoint now, StreamId stream) const;

 private:
  struct Stream {
    StreamId id;
    TimePoint opened_at{};
    TimePoint last_data_at{};
    std::optional<TimePoint> delivers_since = std::nullopt;
    bool is_connected = false;
  };
  // Discovery sends a comment each second, so a stream on which two are missing no longer works.
  static constexpr std::chrono::milliseconds silence_timeout{2300};
  // The intervals between streams that are opened while none delivers. While connections don't open, the
  // interval grows from the first to the second.
  static constexpr std::chrono::milliseconds min_interval{500};
  static constexpr std::chrono::milliseconds max_interval{2300};
  // How long a stream without a body is kept.
  static constexpr std::chrono::milliseconds first_data_timeout{9200};
  // The backoff after streams that ended soon, so that discovery that rejects connections is not flooded.
  static constexpr std::chrono::milliseconds min_backoff{50};
  static constexpr std::chrono::milliseconds max_backoff{400};
  // A stream that has delivered for this long was healthy, and has sent all events that were missing.
  static constexpr std::chrono::milliseconds stable_after{1000};

  Stream* find(StreamId stream);
  const Stream* find(StreamId stream) const;
  bool delivers() const;
  bool is_newest(StreamId stream) const;
  // The time at which the stream is given up if it sends nothing before.
  static TimePoint timeout_of(const Stream& stream);
  static StreamEnd end_of(const Stream& stream);
  void open_after_backoff(TimePoint now, const Stream& ended);

  std::vector<Stream> streams_;  // oldest first
  std::uint64_t last_id_ = 0;
  TimePoint open_at_{};  // when the next stream is opened, unless one delivers by then
  Duration backoff_{};   // before the next stream, after one that ended
  Duration interval_{min_interval};
};

}  // namespace pearchute::net
