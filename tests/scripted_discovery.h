// A stand-in for discovery whose responses are scripted by a test.
#pragma once

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "daemon_fixture.h"

namespace pearchute::test {

// Calls `answer` with the descriptor of each connection, on a thread of its own. `answer` owns the
// descriptor.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(std::function<void(int)> answer)
      : listener_(listen_on(port_)), thread_([this, answer = std::move(answer)] {
          while (!stopped_) {
            pollfd one{listener_, POLLIN, 0};
            if (poll(&one, 1, 20) <= 0) continue;
            const int peer = accept(listener_, nullptr, nullptr);
            ++connections_;
            answer_threads_.emplace_back([peer, answer] { answer(peer); });
          }
        }) {}
  ~ScriptedDiscovery() {
    stopped_ = true;
    thread_.join();
    for (std::thread& one : answer_threads_) one.join();
    close(listener_);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int connections() const { return connections_; }

 private:
  int port_ = 0, listener_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> connections_ = 0;
  std::vector<std::thread> answer_threads_;
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
