// A parser for a stream of server-sent events in an HTTP response. It gets the bytes of one response and
// calls the listener for each event. It uses no socket and no clock, and doesn't interpret the events' data.
#pragma once

#include <string>
#include <string_view>

#include "net/http.h"

namespace pearchute::net {

class EventStreamReader {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void on_event(std::string_view id, std::string_view data) = 0;
  };
  explicit EventStreamReader(Listener& listener) : listener_(listener) {}
  // Returns false once the response is not a valid event stream.
  bool feed(std::string_view bytes);
  // Whether a part of the response's body has arrived.
  bool body_begun() const { return body_begun_; }

 private:
  bool parse_text(std::string_view text);
  void on_line_end();

  Listener& listener_;
  MessageReader reader_{MessageReader::Side::passing_responses};
  std::string line_, id_, data_;
  bool has_data_ = false, after_cr_ = false, status_checked_ = false, body_begun_ = false;
};

}  // namespace pearchute::net
