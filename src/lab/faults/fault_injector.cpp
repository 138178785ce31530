// A library for LD_PRELOAD that makes a share of the system calls of one named program fail with errors that
// Linux documents, and shifts the wall clock that the program reads. It is built with the laboratory and
// never linked into a program. The seed and the number of random draws so far decide which calls fail; the
// shared control file (fault_control.h) counts the failures of each kind. Without that file, or in another
// program, every call passes.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netdb.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <initializer_list>

#include "lab/faults/fault_control.h"

namespace {

using pearchute::lab::FaultControl;
using pearchute::lab::FaultKind;

template <class Function>
Function* next_function(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// Declares `real`, the definition of the function that this library overrides; looked up once.
#define NEXT(name) static const auto real = next_function<decltype(::name)>(#name)

class Injector {
 public:
  Injector() {
    const char* path = std::getenv(pearchute::lab::fault_control_variable);
    if (!path || !is_named_program()) return;
    if (const char* seed = std::getenv(pearchute::lab::fault_seed_variable))
      seed_ = std::strtoull(seed, nullptr, 10);
    if (const char* folder = std::getenv(pearchute::lab::fault_folder_variable))
      std::snprintf(folder_, sizeof folder_, "%s/", folder);
    const int file = next_function<int(const char*, int, ...)>("open")(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return;
    void* mapped = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (mapped != MAP_FAILED) control_ = static_cast<FaultControl*>(mapped);
  }

  bool strikes(FaultKind kind) {
    if (!control_) return false;
    const auto index = static_cast<std::size_t>(kind);
    const std::uint32_t share = control_->per_million[index].load(std::memory_order_relaxed);
    if (share == 0) return false;
    const bool struck = draw() % 1'000'000 < share;
    (struck ? control_->struck : control_->passed)[index].fetch_add(1, std::memory_order_relaxed);
    return struck;
  }

  int fail_with(std::initializer_list<int> errors) {
    errno = *(errors.begin() + static_cast<std::ptrdiff_t>(draw() % errors.size()));
    return -1;
  }

  std::uint64_t draw() {  // SplitMix64
    std::uint64_t value = seed_ + 0x9E3779B97F4A7C15ULL * draws_.fetch_add(1, std::memory_order_relaxed);
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
  }

  std::int64_t wall_clock_offset_ns() {
    const std::int64_t offset = control_ ? control_->wall_clock_offset_ns.load(std::memory_order_relaxed) : 0;
    if (offset != 0) control_->wall_clock_reads.fetch_add(1, std::memory_order_relaxed);
    return offset;
  }

  bool is_below_folder(int descriptor) const {
    if (!control_ || folder_[0] == '\0') return false;
    char link[40], path[4096];
    std::snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    const auto length = ::readlink(link, path, sizeof path - 1);
    if (length <= 0) return false;
    path[length] = '\0';
    return std::strncmp(path, folder_, std::strlen(folder_)) == 0;
  }

  bool active() const { return control_ != nullptr; }

 private:
  static bool is_named_program() {
    const char* name = std::getenv(pearchute::lab::fault_program_variable);
    if (!name) return true;
    char path[4096];
    const auto length = ::readlink("/proc/self/exe", path, sizeof path - 1);
    if (length <= 0) return false;
    path[length] = '\0';
    const char* slash = std::strrchr(path, '/');
    return std::strcmp(slash ? slash + 1 : path, name) == 0;
  }

  FaultControl* control_ = nullptr;
  std::uint64_t seed_ = 1;
  std::atomic<std::uint64_t> draws_{1};
  char folder_[4096] = {};
};

// Never destroyed, because the process makes system calls until it exits, after static destructors have run.
Injector& injector() {
  static Injector* const only = new Injector;
  return *only;
}

// Marks the local ports of connections that this program opened.
std::array<std::atomic<bool>, 65536> outgoing_ports{};

void note_outgoing(int descriptor) {
  const int before = errno;
  sockaddr_in own{};
  socklen_t size = sizeof own;
  if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &size) == 0 && own.sin_family == AF_INET)
    outgoing_ports[ntohs(own.sin_port)].store(true, std::memory_order_relaxed);
  errno = before;
}

// Whether this program opened the connection. Accepted connections belong to clients; a break of one of those
// is the client's action and no failure of a system call, so they are not broken.
bool is_outgoing(int descriptor) {
  sockaddr_in own{}, peer{};
  socklen_t own_size = sizeof own, peer_size = sizeof peer;
  if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &own_size) != 0 ||
      ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0 ||
      own.sin_family != AF_INET)
    return false;
  return outgoing_ports[ntohs(own.sin_port)].load(std::memory_order_relaxed);
}

std::size_t shortened(std::size_t length) {
  return length < 2 ? length : 1 + injector().draw() % (length - 1);
}

// Returns whether the write fails, with errno set. If it doesn't fail, `length` may have been shortened.
bool folder_write_fails(int descriptor, size_t& length) {
  if (!injector().active() || !injector().is_below_folder(descriptor)) return false;
  if (injector().strikes(FaultKind::folder_write_fails)) return injector().fail_with({ENOSPC, EIO}) < 0;
  if (injector().strikes(FaultKind::folder_write_short)) length = shortened(length);
  return false;
}

bool folder_sync_fails(int descriptor) {
  if (!injector().active() || !injector().is_below_folder(descriptor)) return false;
  return injector().strikes(FaultKind::folder_sync_fails) && injector().fail_with({EIO, ENOSPC}) < 0;
}

// Sets errno if it returns true.
bool accept_fails() {
  if (injector().strikes(FaultKind::accept_fails))
    return injector().fail_with({ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM}) < 0;
  if (injector().strikes(FaultKind::accept_odd))
    return injector().fail_with({ETIMEDOUT, EPROTO, ENETDOWN, ENOSR, ESOCKTNOSUPPORT, EPROTONOSUPPORT, EPERM,
                                 EHOSTUNREACH}) < 0;
  return false;
}

// Sleeps for a random part of the timeout, 50 ms at most, as before a signal interrupts a wait.
void sleep_for_part_of(int timeout_ms) {
  if (timeout_ms <= 1) return;
  const auto part_ms = injector().draw() % static_cast<std::uint64_t>(std::min(timeout_ms, 50));
  const timespec part{0, static_cast<long>(part_ms) * 1'000'000};
  ::nanosleep(&part, nullptr);
}

}  // namespace

extern "C" {

ssize_t recv(int descriptor, void* bytes, size_t length, int flags) {
  NEXT(recv);
  if (injector().strikes(FaultKind::receive_interrupted)) return injector().fail_with({EINTR});
  if (injector().active() && is_outgoing(descriptor) && injector().strikes(FaultKind::receive_broken)) {
    ::shutdown(descriptor, SHUT_RDWR);
    return injector().fail_with({ETIMEDOUT, EHOSTUNREACH});
  }
  if (injector().strikes(FaultKind::receive_short)) length = shortened(length);
  return real(descriptor, bytes, length, flags);
}

ssize_t send(int descriptor, const void* bytes, size_t length, int flags) {
  NEXT(send);
  if (injector().strikes(FaultKind::send_interrupted)) return injector().fail_with({EINTR});
  if (injector().strikes(FaultKind::send_short)) length = shortened(length);
  return real(descriptor, bytes, length, flags);
}

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  NEXT(accept);
  if (accept_fails()) return -1;
  return real(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  NEXT(accept4);
  if (accept_fails()) return -1;
  return real(descriptor, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  NEXT(socket);
  if (injector().strikes(FaultKind::socket_fails)) return injector().fail_with({ENFILE, EMFILE, ENOBUFS});
  return real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  NEXT(connect);
  if (address->sa_family == AF_INET && injector().strikes(FaultKind::connect_fails))
    return injector().fail_with({EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH});
  if (address->sa_family == AF_INET && injector().strikes(FaultKind::connect_interrupted))
    return injector().fail_with({EINTR});
  const int status = real(descriptor, address, size);
  if (injector().active()) note_outgoing(descriptor);
  return status;
}

int epoll_ctl(int descriptor, int operation, int watched, epoll_event* event) {
  NEXT(epoll_ctl);
  if (operation != EPOLL_CTL_DEL && injector().strikes(FaultKind::watch_fails))
    return injector().fail_with({ENOMEM, ENOSPC});
  return real(descriptor, operation, watched, event);
}

int epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout_ms) {
  NEXT(epoll_wait);
  if (timeout_ms != 0 && injector().strikes(FaultKind::wait_interrupted)) {
    sleep_for_part_of(timeout_ms);
    return injector().fail_with({EINTR});
  }
  return real(descriptor, events, max_events, timeout_ms);
}

int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  NEXT(poll);
  if (injector().strikes(FaultKind::wait_interrupted)) {
    sleep_for_part_of(timeout_ms);
    return injector().fail_with({EINTR});
  }
  return real(descriptors, count, timeout_ms);
}

int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const mode_t mode = flags & (O_CREAT | O_TMPFILE) ? static_cast<mode_t>(va_arg(more, int)) : 0;
  va_end(more);
  static const auto real = next_function<int(const char*, int, ...)>("open");
  if (injector().strikes(FaultKind::open_fails)) return injector().fail_with({ENFILE, EMFILE, EINTR});
  return real(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const mode_t mode = flags & (O_CREAT | O_TMPFILE) ? static_cast<mode_t>(va_arg(more, int)) : 0;
  va_end(more);
  static const auto real = next_function<int(const char*, int, ...)>("open64");
  if (injector().strikes(FaultKind::open_fails)) return injector().fail_with({ENFILE, EMFILE, EINTR});
  return real(path, flags, mode);
}

// The C library opens streams internally, without calling the two functions above.
FILE* fopen(const char* path, const char* mode) {
  NEXT(fopen);
  if (injector().strikes(FaultKind::open_fails))
    return injector().fail_with({ENFILE, EMFILE, EINTR}), nullptr;
  return real(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  NEXT(fopen64);
  if (injector().strikes(FaultKind::open_fails))
    return injector().fail_with({ENFILE, EMFILE, EINTR}), nullptr;
  return real(path, mode);
}

int getaddrinfo(const char* node, const char* service, const addrinfo* hints, addrinfo** result) {
  NEXT(getaddrinfo);
  if (injector().strikes(FaultKind::resolve_slow)) {
    constexpr timespec delay{1, 500'000'000};
    ::nanosleep(&delay, nullptr);
    return EAI_AGAIN;
  }
  return real(node, service, hints, result);
}

pid_t fork() {
  NEXT(fork);
  if (injector().strikes(FaultKind::process_fails)) return injector().fail_with({EAGAIN, ENOMEM});
  return real();
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  NEXT(recvmsg);
  if (injector().strikes(FaultKind::receive_interrupted)) return injector().fail_with({EINTR});
  return real(descriptor, message, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  NEXT(sendmsg);
  if (injector().strikes(FaultKind::send_interrupted)) return injector().fail_with({EINTR});
  return real(descriptor, message, flags);
}

ssize_t write(int descriptor, const void* bytes, size_t length) {
  NEXT(write);
  if (folder_write_fails(descriptor, length)) return -1;
  return real(descriptor, bytes, length);
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t length, off64_t at) {
  NEXT(pwrite64);
  if (folder_write_fails(descriptor, length)) return -1;
  return real(descriptor, bytes, length, at);
}

int fsync(int descriptor) {
  NEXT(fsync);
  return folder_sync_fails(descriptor) ? -1 : real(descriptor);
}

int fdatasync(int descriptor) {
  NEXT(fdatasync);
  return folder_sync_fails(descriptor) ? -1 : real(descriptor);
}

int clock_gettime(clockid_t clock, timespec* now) {
  NEXT(clock_gettime);
  const int status = real(clock, now);
  if (status != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return status;
  const std::int64_t offset = injector().wall_clock_offset_ns();
  if (offset == 0) return status;
  const std::int64_t at = now->tv_sec * 1'000'000'000LL + now->tv_nsec + offset;
  now->tv_sec = at / 1'000'000'000, now->tv_nsec = at % 1'000'000'000;
  return status;
}

int gettimeofday(timeval* now, void* zone) {
  NEXT(gettimeofday);
  const int status = real(now, zone);
  const std::int64_t offset = injector().wall_clock_offset_ns();
  if (status == 0 && offset != 0) now->tv_sec += offset / 1'000'000'000;
  return status;
}

time_t time(time_t* at) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (at) *at = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
