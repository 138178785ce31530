#include "net/system_calls.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace pearchute::net {

namespace {

bool set_non_blocking(int descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFL, 0);
  return flags >= 0 && ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) == 0;
}

Opened failed(int descriptor, int error) {
  if (descriptor >= 0) ::close(descriptor);
  return {-1, error};
}

Opened open_socket(const Poco::Net::SocketAddress& address) {
  const int descriptor = ::socket(address.af(), SOCK_STREAM, 0);
  if (descriptor < 0) return failed(-1, errno);
  if (!set_non_blocking(descriptor)) return failed(descriptor, errno);
  return {descriptor, 0};
}

// Whether an established connection continues after the error; all others break it.
bool is_transient(int error) {
  return error == EAGAIN || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

// Whether an error of accept makes the listening socket unusable. All others are shortages, or errors of the
// pending connection: accept(2) passes on network errors, among them some that its manual doesn't list, and
// the next connection may be accepted.
bool listening_is_broken(int error) {
  return error == EBADF || error == EFAULT || error == EINVAL || error == ENOTSOCK;
}

// Whether an error of accept is a shortage on this machine. Network errors, which are transient failures
// elsewhere, concern only one pending connection here.
bool is_shortage_of_accept(int error) {
  return error == EINTR || error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Failure failure_of_listening(int error_number) {
  return error_number == EADDRNOTAVAIL ? Failure::never : failure_of(error_number);
}

Transfer receive_some(int descriptor, char* bytes, std::size_t max_bytes) {
  const auto got = uninterrupted([&] { return ::recv(descriptor, bytes, max_bytes, MSG_DONTWAIT); });
  if (got > 0) return {TransferStatus::done, static_cast<std::size_t>(got), 0};
  if (got == 0) return {TransferStatus::ended, 0, 0};
  if (is_transient(errno)) return {TransferStatus::not_now, 0, 0};
  return {TransferStatus::broken, 0, errno};
}

Transfer send_some(int descriptor, const char* bytes, std::size_t length) {
  const auto sent =
      uninterrupted([&] { return ::send(descriptor, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT); });
  if (sent >= 0) return {TransferStatus::done, static_cast<std::size_t>(sent), 0};
  if (is_transient(errno)) return {TransferStatus::not_now, 0, 0};
  return {TransferStatus::broken, 0, errno};
}

Accepted accept_one(int listening) {
  // Each further round removes a connection that broke in the queue.
  constexpr int max_broken = 64;
  for (int i = 0; i < max_broken; ++i) {
    const int descriptor = uninterrupted([&] { return ::accept(listening, nullptr, nullptr); });
    if (descriptor >= 0) {
      if (set_non_blocking(descriptor)) return {AcceptStatus::accepted, descriptor};
      ::close(descriptor);
      continue;
    }
    if (errno == EAGAIN) return {AcceptStatus::none_pending, -1};
    if (listening_is_broken(errno)) return {AcceptStatus::broken, -1};
    if (is_shortage_of_accept(errno)) return {AcceptStatus::shortage, -1};
  }
  return {AcceptStatus::shortage, -1};
}

Opened begin_connect(const Poco::Net::SocketAddress& to) {
  const Opened socket = open_socket(to);
  if (!socket.is_open()) return socket;
  // An interrupted connect may have started or not; the repeated call reports that it is in progress.
  if (uninterrupted([&] { return ::connect(socket.descriptor, to.addr(), to.length()); }) == 0) return socket;
  const bool is_under_way = errno == EINPROGRESS || errno == EALREADY || errno == EISCONN;
  return is_under_way ? socket : failed(socket.descriptor, errno);
}

Opened listen_at(const Poco::Net::SocketAddress& at, int backlog) {
  const Opened socket = open_socket(at);
  if (!socket.is_open()) return socket;
  const int yes = 1;
  ::setsockopt(socket.descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (::bind(socket.descriptor, at.addr(), at.length()) != 0) return failed(socket.descriptor, errno);
  if (::listen(socket.descriptor, backlog) != 0) return failed(socket.descriptor, errno);
  return socket;
}

bool is_listened_at(const Poco::Net::SocketAddress& at) {
  Opened probe = begin_connect(at);
  if (probe.is_open()) ::close(probe.descriptor);
  // EAGAIN: the queue of pending connections is full.
  if (probe.is_open() || probe.error == EAGAIN) return true;
  if (probe.error == ECONNREFUSED || probe.error == ENOENT) return false;
  const std::string wrong = "can't check whether a process listens: " + text_of_error(probe.error);
  if (failure_of(probe.error) == Failure::not_now) throw ResourceShortage(wrong, at.toString());
  throw SystemError(wrong, at.toString());
}

int pending_error(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

Poco::Net::StreamSocket socket_of(int descriptor) { return {new Poco::Net::StreamSocketImpl(descriptor)}; }

void set_no_delay(int descriptor) {
  const int yes = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

void reset_at_close(int descriptor) {
  const linger at_once{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool shut_down_sending(int descriptor) { return ::shutdown(descriptor, SHUT_WR) == 0; }

bool peer_has_ended(int descriptor) {
  pollfd one{descriptor, POLLRDHUP, 0};
  if (uninterrupted([&] { return ::poll(&one, 1, 0); }) <= 0) return false;
  return (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool has_unread(int descriptor) {
  int bytes = 0;
  return ::ioctl(descriptor, FIONREAD, &bytes) == 0 && bytes > 0;
}

std::optional<std::chrono::milliseconds> age_of_last_data(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool is_reset(int error_number) { return error_number == ECONNRESET; }

std::size_t unsent_bytes(int descriptor) {
  int bytes = 0;
  if (::ioctl(descriptor, SIOCOUTQNSD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

}  // namespace pearchute::net
