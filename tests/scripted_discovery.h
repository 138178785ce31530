// A server in discovery's place that says to each connection what a test wants it to say.
#pragma once

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "daemon_fixture.h"

namespace pearchute::test {

// A plain server in discovery's place that answers each connection in its own way.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(std::function<void(int)> answer)
      : door_(listen_on(port_)), thread_([this, answer = std::move(answer)] {
          while (!over_) {
            pollfd one{door_, POLLIN, 0};
            if (poll(&one, 1, 20) <= 0) continue;
            const int peer = accept(door_, nullptr, nullptr);
            ++connections_;
            peers_.emplace_back([peer, answer] { answer(peer); });
          }
        }) {}
  ~ScriptedDiscovery() {
    over_ = true;
    thread_.join();
    for (std::thread& one : peers_) one.join();
    close(door_);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int connections() const { return connections_; }

 private:
  int port_ = 0, door_;
  std::atomic<bool> over_ = false;
  std::atomic<int> connections_ = 0;
  std::vector<std::thread> peers_;
  std::thread thread_;
};

inline std::string hear_request(int peer) {
  char bytes[1000];
  const auto got = recv(peer, bytes, sizeof bytes, 0);
  return got > 0 ? std::string(bytes, static_cast<std::size_t>(got)) : "";
}

inline std::string list_event(const std::string& engine) {
  return "id: 1\ndata: " + StandInChannel::event(1, {{"a", engine, "east", "std", "active"}}, true).dump() +
         "\n\n";
}

}  // namespace pearchute::test
