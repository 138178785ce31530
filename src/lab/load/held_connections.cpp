#include "lab/load/held_connections.h"

#include <Poco/Net/SocketAddress.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <string_view>

#include "errors/error.h"

namespace pearchute::lab {

namespace {

constexpr int answer_timeout_s = 5;

void send_all(Poco::Net::StreamSocket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const int sent = socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (sent <= 0) throw SystemError("can't write to a connection", "held connection");
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

}  // namespace

void raise_descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void HeldConnections::request_check(Poco::Net::StreamSocket& socket) const {
  send_all(socket, "GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
  char answer[512];  // longer than the answer to a check
  const int length = socket.receiveBytes(answer, sizeof answer);
  if (length <= 0) throw SystemError("the manager closed a connection without an answer", manager_);
}

void HeldConnections::open_up_to(std::size_t count) {
  try {
    while (sockets_.size() < count) {
      Poco::Net::StreamSocket& socket = sockets_.emplace_back();
      socket.connect(Poco::Net::SocketAddress(manager_), Poco::Timespan(answer_timeout_s, 0));
      socket.setReceiveTimeout(Poco::Timespan(answer_timeout_s, 0));
      socket.setNoDelay(true);
      request_check(socket);
    }
  } catch (const Poco::Exception& error) {
    throw SystemError("can't open connection " + std::to_string(sockets_.size()) + ": " + error.displayText(),
                      manager_);
  }
}

void HeldConnections::refresh() {
  try {
    for (Poco::Net::StreamSocket& socket : sockets_) request_check(socket);
  } catch (const Poco::Exception& error) {
    throw SystemError("a held connection failed: " + error.displayText(), manager_);
  }
}

void HeldConnections::begin_statements(std::size_t first, std::size_t count, const std::string& class_name,
                                       std::chrono::milliseconds work, std::chrono::milliseconds timeout,
                                       std::uint64_t first_id) {
  const std::string cost = std::to_string(work.count());
  const std::string statement = "SELECT work=" + cost + " FROM a_1.t";
  for (std::size_t i = first; i < std::min(first + count, sockets_.size()); ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(first_id++));
    send_all(sockets_[i], "POST /do/" + class_name + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
                              "\r\nX-Timeout-Ms: " + std::to_string(timeout.count()) +
                              "\r\nX-Cost-Ms: " + cost + "\r\nX-Est-Mb: 8\r\nContent-Length: " +
                              std::to_string(statement.size()) + "\r\n\r\n" + statement);
  }
}

void HeldConnections::close() { sockets_.clear(); }

}  // namespace pearchute::lab
