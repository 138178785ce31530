// Relays on loopback between two processes. A client connects to the relay instead of the server, and the
// relay forwards the bytes of each direction at once, late, slowly, or not at all, as a test sets it or a
// seed draws it. A relay doesn't interpret the bytes.
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

// How a relay forwards one direction.
struct Flow {
  std::chrono::milliseconds delay{0};
  std::size_t trickle = 0;  // bytes forwarded every 50 ms; 0: no limit
  bool held = false;        // nothing is forwarded; the bytes are kept, and follow once it is false
  bool cut = false;         // bytes are lost; a connection that lost any is reset when the cut ends
  bool operator==(const Flow&) const = default;
};

class Relay {
 public:
  enum Way { there, back };  // from the connecting client, and to it
  // Listens at `listen` ("127.0.0.1:0": the system picks the port) and forwards connections to `target`.
  Relay(net::Loop& loop, const std::string& listen, Poco::Net::SocketAddress target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  std::string address() const { return listener_.address().toString(); }

  void set(Way way, const Flow& flow);
  void set(const Flow& both) { set(there, both), set(back, both); }
  void reset();          // resets all connections; new ones are accepted
  void half_close(Way);  // signals the end of data to the receiver of that direction; the other continues

  std::uint64_t bytes(Way way) const { return bytes_[way]; }        // forwarded so far
  std::uint64_t accepted_count() const { return accepted_count_; }  // connections accepted so far
  std::size_t open() const { return pairs_.size(); }

 private:
  struct Side;
  struct Pair;
  void on_accepted(const Poco::Net::StreamSocket& socket);
  void drop(Pair& pair);

  net::Loop& loop_;
  net::ListeningSocket listener_;
  const Poco::Net::SocketAddress target_;
  std::array<Flow, 2> flows_;
  std::array<std::uint64_t, 2> bytes_{};
  std::map<Pair*, std::unique_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Pair>> dropped_;
  std::uint64_t accepted_count_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A network of relays between named processes, with one relay for each ordered pair that a test requests, and
// faults that affect several relays at once. All relays run on the loop passed in.
class Relays {
 public:
  explicit Relays(net::Loop& loop) : loop_(loop) {}
  // Creates the relay for connections of `from` to `to`, which listens at `target`.
  Relay& between(const std::string& from, const std::string& to, const std::string& target);
  Relay& at(const std::string& from, const std::string& to) { return *all_.at({from, to}); }
  // Cuts all relays between processes of different parts; a process that is in no part keeps its connections.
  void split(const std::vector<std::vector<std::string>>& parts);
  // Cuts the direction from `from` to `to`, whichever of the two connected; the other direction continues.
  void mute(const std::string& from, const std::string& to);
  void heal();  // removes all faults
  // Injects one fault drawn from `random`, and returns its description.
  std::string strike(std::knuth_b& random);
  std::uint64_t bytes() const;

 private:
  net::Loop& loop_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Relay>> all_;
};

}  // namespace pearchute::lab
