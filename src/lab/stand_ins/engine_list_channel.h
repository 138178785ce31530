// A stand-in command channel: it sends numbered events of the endpoint list as server-sent events to each
// client, starting after the client's Last-Event-ID. It can stop sending and break its streams.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "net/deferred_deletion.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/listening_socket.h"

namespace pearchute::lab {

class StandInChannel {
 public:
  struct Member {
    std::string name, address, zone, kind, phase;  // phase: active, leaving or left
    std::int64_t up_since_ms = 0;                  // Unix time; 0: long ago
  };
  // Returns the event with this number. `complete`: the members are the whole list, not a change to it.
  static nlohmann::json event(std::size_t number, const std::vector<Member>& members, bool complete);
  explicit StandInChannel(net::Loop& loop);
  ~StandInChannel();
  std::string address() const { return listener_.address().toString(); }
  // Appends an event and sends it on all streams.
  void tell(const std::vector<Member>& members, bool complete);
  void cut_streams();                    // closes all streams
  void cut_next() { cut_next_ = true; }  // the next stream to open ends within its first event
  std::uint64_t asked_from() const { return asked_from_; }  // the Last-Event-ID of the latest stream
  std::uint64_t asked() const { return asked_; }            // streams requested so far
  void fall_silent(bool silent);  // sends nothing while `silent`; unsent events follow afterwards
  void strand();                  // the open streams stay open and never send again
  std::size_t streams() const { return streams_.size(); }
  std::uint64_t bytes_received() const { return bytes_received_; }  // over all streams so far
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  class Stream;
  friend class Stream;
  void send_keepalives();
  void close_stream(Stream& stream);

  net::Loop& loop_;
  net::ListeningSocket listener_;
  std::vector<std::string> events_;  // from number 1
  std::map<Stream*, std::unique_ptr<Stream>> streams_;
  net::DeferredDeletion<Stream> closed_streams_;
  bool silent_ = false, cut_next_ = false;
  std::uint64_t asked_from_ = 0, asked_ = 0, bytes_received_ = 0, bytes_sent_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::lab
