// A stand-in command channel: numbered events of the list of engines, as server-sent events to whoever asks,
// from the number that it asks for. It can fall silent, break its streams, and forget.
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
    std::string name, address, zone, kind, phase;  // active, leaving, left
    std::int64_t up_since_ms = 0;                  // since 1970; 0: long ago
  };
  static nlohmann::json event(std::size_t number, const std::vector<Member>& members, bool complete);
  explicit StandInChannel(net::Loop& loop);
  ~StandInChannel();
  std::string address() const { return door_.address().toString(); }
  void tell(const std::vector<Member>& members, bool complete);
  void cut_streams();
  void cut_next() { cut_next_ = true; }                     // the next stream ends within its first event
  std::uint64_t asked_from() const { return asked_from_; }  // by the last stream
  std::uint64_t asked() const { return asked_; }
  void fall_silent(bool silent);  // what it owes by then is told when it speaks again
  void strand();                  // the streams that are open fall silent for good, and stay open
  std::size_t streams() const { return lines_.size(); }
  std::uint64_t bytes_received() const { return bytes_received_; }  // over all streams so far
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  class Line;
  friend class Line;
  void tick();
  void forget(Line& line);

  net::Loop& loop_;
  net::ListeningSocket door_;
  std::vector<std::string> events_;  // from number 1
  std::map<Line*, std::unique_ptr<Line>> lines_;
  net::DeferredDeletion<Line> gone_;
  bool silent_ = false, cut_next_ = false;
  std::uint64_t asked_from_ = 0, asked_ = 0, bytes_received_ = 0, bytes_sent_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::lab
