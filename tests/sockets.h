// What tests of the daemon as a process share: plain blocking sockets on loopback, HTTP calls by hand, and
// the process itself, started and waited for by id. Never decides what is right.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lab/stand_ins/child_process.h"

inline int listen_on(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  assert(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && listen(fd, 16) == 0);
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

inline int connect_to(int port, int flags = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | flags, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 || flags != 0) return fd;
  close(fd);
  return -1;
}

// A place where connections are begun and do not come up before `opens`: its backlog is full.
struct LateDoor {
  int port = 0, fd = listen_on(port);
  int filling[2];
  LateDoor() {
    assert(listen(fd, 0) == 0);
    for (int& one : filling) one = connect_to(port, SOCK_NONBLOCK);
  }
  ~LateDoor() {
    for (const int one : filling) close(one);
    close(fd);
  }
  void opens() { assert(listen(fd, 16) == 0); }
  // All that comes on connections that come up from now on, up to `text` or for so long.
  std::string hears(const std::string& text, std::chrono::milliseconds within) {
    std::string came;
    const auto end = std::chrono::steady_clock::now() + within;
    while (came.find(text) == std::string::npos && std::chrono::steady_clock::now() < end) {
      pollfd one{fd, POLLIN, 0};
      if (poll(&one, 1, 50) <= 0) continue;
      const int peer = accept(fd, nullptr, nullptr);
      const timeval patience{0, 300'000};
      setsockopt(peer, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
      char buffer[4096];
      const auto got = recv(peer, buffer, sizeof buffer, 0);
      if (got > 0) came.append(buffer, static_cast<std::size_t>(got));
      peers.push_back(peer);
    }
    return came;
  }
  std::vector<int> peers;
};

inline void say(int fd, const std::string& text) {
  [[maybe_unused]] const auto sent = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

// One whole answer, which carries its length, and nothing of what comes behind it; what comes before an end
// counts, too. `broken`: the end was a reset.
inline std::string hear(int fd, bool* broken = nullptr) {
  std::string text;
  char buffer[4096];
  std::size_t wanted = 1;  // until the head is whole its length is not known
  while (wanted > 0) {
    const auto got = recv(fd, buffer, std::min(wanted, sizeof buffer), 0);
    if (broken) *broken = got < 0;
    if (got <= 0) return text;
    text.append(buffer, static_cast<std::size_t>(got));
    const std::size_t head = text.find("\r\n\r\n");
    const std::size_t at = text.find("Content-Length: ");
    if (head == std::string::npos) continue;
    wanted =
        at == std::string::npos ? sizeof buffer : head + 4 + std::stoul(text.substr(at + 16)) - text.size();
  }
  return text;
}

// A call on a connection of its own.
inline std::string call(int port, const std::string& bytes) {
  const int fd = connect_to(port);
  if (fd < 0) return "";
  say(fd, bytes);
  const std::string answer = hear(fd);
  close(fd);
  return answer;
}

inline std::string id_of(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", number);
  return text;
}

struct JobCall {
  int number;
  std::string statement;
  int patience_ms;
  std::string type = "quick", more = "";  // headers
  int cost_ms = 5;
  std::string bytes() const {
    return "POST /do/" + type + " HTTP/1.1\r\nhost: a\r\nx-request-id: " + id_of(number) +
           "\r\nX-TIMEOUT-MS: " + std::to_string(patience_ms) + "\r\nX-Cost-Ms: " + std::to_string(cost_ms) +
           ".0\r\nX-Est-Mb: 8\r\n" + more + "Content-Length: " + std::to_string(statement.size()) +
           "\r\n\r\n" + statement;
  }
};

template <class Condition>
bool soon(Condition condition, int tries = 500) {
  for (int i = 0; i < tries && !condition(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  return condition();
}

using Environment = std::vector<std::pair<std::string, std::string>>;

inline pid_t start(const std::string& configuration, const Environment& environment = {}) {
  Environment whole = {{"PROXY_CONFIG", configuration}};
  whole.insert(whole.end(), environment.begin(), environment.end());
  return pearchute::lab::start_child(
      {.program = PEARCHUTED, .arguments = {}, .environment = whole, .log = {}, .inherits = true});
}

inline int end_of(pid_t child) {
  int status = 0;
  waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
