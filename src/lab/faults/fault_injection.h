// Controls fault injection in one program: creates the control file, sets the share of failing calls while
// the program runs, steps the wall clock that the program reads, and reads the counters of injected faults.
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
  // Creates the control file at `file`, or truncates it; the destructor removes it. `library` is the path of
  // the preloaded library and `program` the file name of the executable in which calls fail. Throws
  // SystemError.
  FaultInjection(std::string library, std::string file, std::string program, std::uint64_t seed);
  ~FaultInjection();
  FaultInjection(const FaultInjection&) = delete;
  FaultInjection& operator=(const FaultInjection&) = delete;

  // The environment variables, as name and value, that the program must be started with.
  std::vector<std::pair<std::string, std::string>> environment() const;
  void set_folder(std::string folder) { folder_ = std::move(folder); }  // call before environment()

  // Makes calls of this kind fail with probability `share`, from 0 to 1.
  void set(FaultKind kind, double share);
  void set_none();
  void step_wall_clock(std::chrono::nanoseconds offset);  // relative to the machine's time

  std::uint64_t struck(FaultKind kind) const;  // calls that failed
  std::uint64_t passed(FaultKind kind) const;  // calls that passed while their share was above 0
  std::uint64_t wall_clock_reads() const;      // reads that returned a shifted time

 private:
  const std::string library_, file_, program_;
  const std::uint64_t seed_;
  std::string folder_;
  FaultControl* control_ = nullptr;
};

}  // namespace pearchute::lab
