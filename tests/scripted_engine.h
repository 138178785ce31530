// An engine whose every word is scripted by a test: one thread for each connection, which reads requests and
// give-ups and says what the test wants, in any order. It notes when each request came and was given up.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon_fixture.h"
#include "engines/resp.h"

namespace pearchute::test {

class ScriptedEngine {
 public:
  struct Seen {
    Clock::time_point came{};
    std::optional<Clock::time_point> given_up;
  };
  // Says `words` on the connection at hand.
  using Say = std::function<void(std::initializer_list<std::string_view> words)>;
  struct Script {
    // A request has come; a usual engine answers some time later.
    std::function<void(const std::string& id, const Say& say)> wanted = [](const std::string&, const Say&) {};
    // It is given up; `tag` is that of the question behind, which a usual engine answers with PONG.
    std::function<void(const std::string& id, const std::string& tag, const Say& say)> given_up =
        [](const std::string&, const std::string& tag, const Say& say) {
          say({tag, "PONG", "-", ""});
        };
  };

  explicit ScriptedEngine(Script script) : script_(std::move(script)), door_(listen_on(port_)) {
    doorkeeper_ = std::thread([this] { accept_all(); });
  }
  ~ScriptedEngine() {
    over_ = true;
    shutdown(door_, SHUT_RDWR), close(door_);
    doorkeeper_.join();
    for (const int peer : peers_) shutdown(peer, SHUT_RDWR);
    for (std::thread& one : readers_) one.join();
    for (const int peer : peers_) close(peer);
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
    while (!over_) {
      const int peer = accept(door_, nullptr, nullptr);
      if (peer < 0) return;
      peers_.push_back(peer);
      readers_.emplace_back([this, peer] { read_all(peer); });
    }
  }
  void read_all(int peer) {
    const Say say_words = [peer](std::initializer_list<std::string_view> words) {
      std::string out;
      pearchute::net::append_command(out, words);
      say(peer, out);
    };
    pearchute::net::RespReader reader;
    std::string given_up;
    char buffer[4096];
    while (true) {
      const auto got = recv(peer, buffer, sizeof buffer, 0);
      if (got <= 0) return;
      reader.feed({buffer, static_cast<std::size_t>(got)}, [&](std::vector<std::string>& words) {
        if (words[0] == "want") {
          note(words[1]);
          script_.wanted(words[1], say_words);
        } else if (words[0] == "never_mind") {
          given_up = words[1];
          const std::lock_guard lock(mutex_);
          seen_[words[1]].given_up = Clock::now();
        } else if (words[0] == "there" && !given_up.empty()) {
          script_.given_up(std::exchange(given_up, ""), words[1], say_words);
        } else if (words[0] == "there") {
          say_words({words[1], "PONG", "-", ""});
        }
      });
    }
  }
  void note(const std::string& id) {
    const std::lock_guard lock(mutex_);
    seen_[id].came = Clock::now();
  }

  Script script_;
  int port_ = 0;
  int door_ = -1;
  std::atomic<bool> over_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, Seen> seen_;
  std::vector<int> peers_;
  std::vector<std::thread> readers_;
  std::thread doorkeeper_;
};

}  // namespace pearchute::test
