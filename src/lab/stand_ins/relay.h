// Relays on loopback between any two processes: whoever would connect to one connects to its relay instead,
// and the bytes of each direction go on, late, slowly, not at all, or until one side is closed, as scripts
// say or a seed draws. A relay looks into no byte.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/checkers/history_checker.h"
#include "net/event_loop.h"
#include "net/listening_socket.h"

namespace pearchute::lab {

// Of one direction.
struct Flow {
  std::chrono::milliseconds delay{0};
  std::size_t trickle = 0;  // bytes a twentieth of a second; 0: as they come
  bool held = false;        // nothing passes; what has come goes on once it is let go
  bool cut = false;  // what comes is lost. A connection that lost something is reset when the cut is over
  bool operator==(const Flow&) const = default;
};

class Relay {
 public:
  enum Way { there, back };  // from whoever connects, and to it
  // Listens at `listen` ("127.0.0.1:0": the system picks the port) for what is meant for `target`.
  Relay(net::Loop& loop, const std::string& listen, Poco::Net::SocketAddress target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  std::string address() const { return door_.address().toString(); }

  void set(Way way, const Flow& flow);
  void set(const Flow& both) { set(there, both), set(back, both); }
  void reset();          // all connections end with a reset, others may come
  void half_close(Way);  // the receiving side of that way is told the end; the other way goes on

  std::uint64_t bytes(Way way) const { return bytes_[way]; }  // that went on
  std::uint64_t came() const { return came_; }                // connections
  std::size_t open() const { return pairs_.size(); }

 private:
  struct Side;
  struct Pair;
  void took(const Poco::Net::StreamSocket& socket);
  void drop(Pair& pair);

  net::Loop& loop_;
  net::ListeningSocket door_;
  const Poco::Net::SocketAddress target_;
  std::array<Flow, 2> flows_;
  std::array<std::uint64_t, 2> bytes_{};
  std::map<Pair*, std::unique_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Pair>> gone_;
  std::uint64_t came_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A net of relays between named ends, one for each ordered pair that is asked for, on the loop of whoever
// owns it; and the faults that concern several at once.
class Relays {
 public:
  explicit Relays(net::Loop& loop) : loop_(loop) {}
  Relay& between(const std::string& from, const std::string& to, const std::string& target);
  Relay& at(const std::string& from, const std::string& to) { return *all_.at({from, to}); }
  // Nothing passes between ends of different parts; an end that is in none is cut off from nobody.
  void split(const std::vector<std::vector<std::string>>& parts);
  // Nothing that `from` sends reaches `to`, by whichever of the two connected; the other way goes on.
  void mute(const std::string& from, const std::string& to);
  void heal();  // all flows as at first
  // One fault that the seed draws, from all of the above; in words.
  std::string strike(std::knuth_b& chance);
  std::uint64_t bytes() const;

 private:
  net::Loop& loop_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Relay>> all_;
};

}  // namespace pearchute::lab
