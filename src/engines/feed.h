// The reading side of server-sent events over HTTP: fed the bytes of one response, it tells of each event and
// each sign of life. It knows no socket and no clock, and nothing of what an event holds.
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
  // False once the response is not a stream of events.
  bool feed(std::string_view bytes);

 private:
  bool take(std::string_view text);
  void line_done();

  Listener& listener_;
  MessageReader reader_{MessageReader::Side::passing_responses};
  std::string line_, id_, data_;
  bool has_data_ = false, after_cr_ = false, checked_ = false;
};

}  // namespace pearchute::net
