// An engine whose answers are scripted by a test. One thread for each connection reads requests and
// cancellations and calls the script, which may send answers in any order. The engine records when it read
// each request and its cancellation.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon_fixture.h"
#include "engines/engine_session.h"

namespace pearchute::test {

class ScriptedEngine {
 public:
  struct Seen {
    Clock::time_point received_at{};
    std::optional<Clock::time_point> cancelled_at;
  };
  // Sends an answer on the connection that calls the script.
  using Say = std::function<void(std::initializer_list<std::string_view> strings)>;
  struct Script {
    // Called when a request is received. Sends no answer by default.
    std::function<void(const std::string& id, const Say& say)> on_request = [](const std::string&,
                                                                               const Say&) {};
    // Called when a page of a result, from 1, is requested. Sends no answer by default.
    std::function<void(const std::string& id, const std::string& page, const Say& say)> on_page =
        [](const std::string&, const std::string&, const Say&) {};
    // Called when a cancellation and the probe after it are received. The default answers the probe with PONG
    // and its `tag`, as a usual engine does.
    std::function<void(const std::string& id, const std::string& tag, const Say& say)> on_cancel =
        [](const std::string&, const std::string& tag, const Say& say) {
          say({tag, "PONG", "-", ""});
        };
  };

  explicit ScriptedEngine(Script script) : script_(std::move(script)), listener_(listen_on(port_)) {
    accept_thread_ = std::thread([this] { accept_all(); });
  }
  ~ScriptedEngine() {
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR), close(listener_);
    accept_thread_.join();
    for (const int peer : connections_) shutdown(peer, SHUT_RDWR);
    for (std::thread& one : read_threads_) one.join();
    for (const int peer : connections_) close(peer);
  }
  ScriptedEngine(const ScriptedEngine&) = delete;
  ScriptedEngine& operator=(const ScriptedEngine&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::optional<Seen> seen(const JobCall& call) const {
    const std::lock_guard lock(mutex_);
    const auto at = seen_.find(id_of(call.number));
    return at == seen_.end() ? std::nullopt : std::optional(at->second);
  }

 private:
  void accept_all() {
    while (!stopped_) {
      const int peer = accept(listener_, nullptr, nullptr);
      if (peer < 0) return;
      connections_.push_back(peer);
      read_threads_.emplace_back([this, peer] { read_all(peer); });
    }
  }
  void read_all(int peer) {
    const Say send_answer = [peer](std::initializer_list<std::string_view> strings) {
      std::string out;
      pearchute::net::append_command(out, strings);
      say(peer, out);
    };
    pearchute::net::RespReader reader;
    std::string cancelled_id;
    char buffer[4096];
    while (true) {
      const auto got = recv(peer, buffer, sizeof buffer, 0);
      if (got <= 0) return;
      reader.feed({buffer, static_cast<std::size_t>(got)}, [&](std::vector<std::string>& strings) {
        if (strings[0] == "want") {
          record_request(strings[1]);
          script_.on_request(strings[1], send_answer);
        } else if (strings[0] == "turn") {
          script_.on_page(strings[1], strings[2], send_answer);
        } else if (strings[0] == "never_mind") {
          cancelled_id = strings[1];
          const std::lock_guard lock(mutex_);
          seen_[strings[1]].cancelled_at = Clock::now();
        } else if (strings[0] == "there" && !cancelled_id.empty()) {
          script_.on_cancel(std::exchange(cancelled_id, ""), strings[1], send_answer);
        } else if (strings[0] == "there") {
          send_answer({strings[1], "PONG", "-", ""});
        }
      });
    }
  }
  void record_request(const std::string& id) {
    const std::lock_guard lock(mutex_);
    seen_[id].received_at = Clock::now();
  }

  Script script_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, Seen> seen_;
  std::vector<int> connections_;
  std::vector<std::thread> read_threads_;
  std::thread accept_thread_;
};

}  // namespace pearchute::test
