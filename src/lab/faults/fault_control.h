// The memory that the laboratory shares with a program under fault injection: the share of calls that fail
// for each kind of fault, the offset of the wall clock, and counters of the calls that failed or passed. It
// is a plain file that both processes map; all fields are lock-free atomics, so that either process may be
// killed at any time.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pearchute::lab {

// Transient failures that Linux documents. Where a kind lists several error numbers, the seed decides which
// one a call returns.
enum class FaultKind : std::size_t {
  receive_interrupted,  // recv, recvmsg: EINTR, nothing read
  receive_short,        // recv: returns fewer bytes than are available
  receive_broken,       // recv on a connection that the program opened: ETIMEDOUT, EHOSTUNREACH
  send_interrupted,     // send, sendmsg: EINTR, nothing written
  send_short,           // send: writes fewer bytes than the socket would take
  accept_fails,         // accept: ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM
  accept_odd,     // accept: errors of one connection, listed in accept(2): ETIMEDOUT, EPROTO, ENOSR, ...
  socket_fails,   // socket: ENFILE, EMFILE, ENOBUFS
  connect_fails,  // connect: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH
  connect_interrupted,  // connect: EINTR, no connection started
  watch_fails,          // epoll_ctl: ENOMEM, ENOSPC
  wait_interrupted,     // epoll_wait, poll: EINTR after part of the wait
  open_fails,           // open, fopen: ENFILE, EMFILE, EINTR
  resolve_slow,         // getaddrinfo: EAI_AGAIN after 1.5 s
  process_fails,        // fork: EAGAIN, ENOMEM
  folder_write_fails,   // write, pwrite of a file in the folder: ENOSPC, EIO
  folder_write_short,   // write, pwrite of a file in the folder: fewer bytes than requested
  folder_sync_fails,    // fsync, fdatasync of a file in the folder: EIO, ENOSPC
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
  std::array<std::atomic<std::uint32_t>, fault_kinds> per_million;  // failing calls per million
  std::array<std::atomic<std::uint64_t>, fault_kinds> struck;       // calls that failed
  std::array<std::atomic<std::uint64_t>, fault_kinds>
      passed;  // calls that passed while their share was above 0
  std::atomic<std::int64_t> wall_clock_offset_ns;
  std::atomic<std::uint64_t> wall_clock_reads;  // reads that returned a shifted time
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// Environment variables that the preloaded library reads.
inline constexpr const char* fault_control_variable = "PEARCHUTE_FAULT_CONTROL";  // path of the control file
inline constexpr const char* fault_seed_variable = "PEARCHUTE_FAULT_SEED";        // decimal number
inline constexpr const char* fault_program_variable =
    "PEARCHUTE_FAULT_PROGRAM";  // file name of the executable; no fault in others
inline constexpr const char* fault_folder_variable =
    "PEARCHUTE_FAULT_FOLDER";  // writes and syncs fail only for files in this folder

}  // namespace pearchute::lab
