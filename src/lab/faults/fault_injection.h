// The laboratory's hold on one program whose system calls are to fail: makes the control file, sets how often
// each kind strikes while the program runs, steps its wall clock, and reads what has struck.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lab/faults/fault_control.h"

namespace pearchute::lab {

class FaultInjection {
 public:
  // `file` is made anew and goes with this object. `library` is the preloaded library's path. Throws
  // SystemError.
  FaultInjection(std::string library, std::string file, std::string program, std::uint64_t seed);
  ~FaultInjection();
  FaultInjection(const FaultInjection&) = delete;
  FaultInjection& operator=(const FaultInjection&) = delete;

  // What the program's environment has to hold, by name.
  std::vector<std::pair<std::string, std::string>> environment() const;
  void set_folder(std::string folder) { folder_ = std::move(folder); }  // before the program starts

  void set(FaultKind kind, double share);
  void set_none();
  void step_wall_clock(std::chrono::nanoseconds offset);  // from the machine's own time

  std::uint64_t struck(FaultKind kind) const;
  std::uint64_t passed(FaultKind kind) const;
  std::uint64_t wall_clock_reads() const;  // while the clock was off

 private:
  const std::string library_, file_, program_;
  const std::uint64_t seed_;
  std::string folder_;
  FaultControl* control_ = nullptr;
};

}  // namespace pearchute::lab
