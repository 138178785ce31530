// The connections to the command channel (discovery). Opens and closes streams as StreamSchedule decides, and
// applies the events that they deliver to an EndpointList.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engines/endpoint_list.h"
#include "engines/event_stream.h"
#include "engines/stream_schedule.h"
#include "net/connection.h"
#include "net/deferred_deletion.h"
#include "net/event_loop.h"
#include "net/log.h"
#include "net/scoped_timer.h"

namespace pearchute::net {

// Used on the loop's thread only. The references must outlive it.
class EndpointListClient final {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void on_endpoints_changed(EndpointUpdate update,
                                      const std::vector<DiscoveredEndpoint>& endpoints) = 0;
  };
  EndpointListClient(Loop& loop, std::string address, EndpointList& list, Listener& listener,
                     Counters& counters);
  ~EndpointListClient();
  void open();
  // Reconnects to another address of the channel; the versions of the events continue.
  void set_address(std::string address);

 private:
  class Stream;
  friend class Stream;

  // Executes what the schedule has due, and sets a timer for the next time.
  void advance();
  void open_stream();
  void close_stream(StreamId stream);
  static void log_close(StreamEnd reason);
  // Applies an event. Returns false where the rest of the stream has to be sent again on another one.
  bool apply_event(std::string_view id, std::string_view data);

  Loop& loop_;
  std::string address_;
  EndpointList& list_;
  Listener& listener_;
  Counters& counters_;
  StreamSchedule schedule_;
  std::map<StreamId, std::unique_ptr<Stream>> streams_;
  DeferredDeletion<Stream> closed_streams_;
  ScopedTimer timer_;
  bool gap_seen_ = false;  // a stream was ended because of a gap, so the next gap is accepted
};

}  // namespace pearchute::net
