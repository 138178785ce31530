// The memory that the laboratory shares with a program whose system calls it makes fail: how often each kind
// of failure is to strike, how far the wall clock is off, and how often each kind has struck which call. A
// plain file, mapped by both; all fields are lock-free atomics, so that either side may be killed at any
// time.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pearchute::lab {

// What Linux documents as failing for a moment. Which error number is drawn, where there are several, is up
// to the seed.
enum class FaultKind : std::size_t {
  receive_interrupted,  // recv: EINTR, nothing read
  receive_short,        // recv: fewer bytes than there are
  receive_broken,       // recv on an engine's connection: ETIMEDOUT, EHOSTUNREACH
  send_interrupted,     // send: EINTR, nothing written
  send_short,           // send: fewer bytes than would go
  accept_fails,         // accept: ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM
  accept_odd,           // accept: of the one connection, as accept(2) has them: ETIMEDOUT, EPROTO, ENOSR, ...
  socket_fails,         // socket: ENFILE, EMFILE, ENOBUFS
  connect_fails,        // connect: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH
  connect_interrupted,  // connect: EINTR, nothing begun
  watch_fails,          // epoll_ctl: ENOMEM, ENOSPC
  wait_interrupted,     // epoll_wait, poll: EINTR, some time into the wait
  open_fails,           // open of a regular file: ENFILE, EMFILE, EINTR
  resolve_slow,         // getaddrinfo: a second and a half, then EAI_AGAIN
  process_fails,        // fork: EAGAIN, ENOMEM
  folder_write_fails,   // write, pwrite below the folder: ENOSPC, EIO
  folder_write_short,   // the same: fewer bytes than asked
  folder_sync_fails,    // fsync, fdatasync below the folder: EIO, ENOSPC
  count
};
inline constexpr std::size_t fault_kinds = static_cast<std::size_t>(FaultKind::count);

inline constexpr std::array<std::string_view, fault_kinds> fault_kind_names = {
    "receive_interrupted", "receive_short",       "receive_broken", "send_interrupted",
    "send_short",          "accept_fails",        "accept_odd",     "socket_fails",
    "connect_fails",       "connect_interrupted", "watch_fails",    "wait_interrupted",
    "open_fails",          "resolve_slow",        "process_fails",  "folder_write_fails",
    "folder_write_short",  "folder_sync_fails"};

struct FaultControl {
  std::array<std::atomic<std::uint32_t>, fault_kinds> per_million;  // of the calls, that fail
  std::array<std::atomic<std::uint64_t>, fault_kinds> struck;       // calls that have failed so far
  std::array<std::atomic<std::uint64_t>, fault_kinds> passed;       // calls of that kind that went on
  std::atomic<std::int64_t> wall_clock_offset_ns;
  std::atomic<std::uint64_t> wall_clock_reads;  // that were answered with an offset other than 0
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// The environment of a program whose calls are to fail.
inline constexpr const char* fault_control_variable = "PEARCHUTE_FAULT_CONTROL";  // the file to map
inline constexpr const char* fault_seed_variable = "PEARCHUTE_FAULT_SEED";        // a number
inline constexpr const char* fault_program_variable =
    "PEARCHUTE_FAULT_PROGRAM";                                                  // its file name; others pass
inline constexpr const char* fault_folder_variable = "PEARCHUTE_FAULT_FOLDER";  // where writes may fail

}  // namespace pearchute::lab
