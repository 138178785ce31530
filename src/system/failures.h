// Classifies the failures of system calls by their error numbers as transient (not_now), after which the
// caller tries again, or permanent (never). Stateless.
#pragma once

#include <string>

#include "errors/error.h"

namespace pearchute {

// Whether a failed system call may succeed later without any change on this machine.
enum class Failure { not_now, never };

// Shortages of descriptors, memory, disk space and local ports are transient, as is a network that is not up
// yet; all other failures are permanent.
Failure failure_of(int error_number);
std::string text_of_error(int error_number);
// Classifies errno, so the last system call of this thread must have failed.
Failure last_failure();
std::string text_of_last_error();

// A transient failure: the operation may succeed if it is tried again.
class ResourceShortage : public SystemError {
 public:
  using SystemError::SystemError;
};

// Signals are rare; a call that is interrupted more often than this fails, so that the caller's other work
// isn't delayed.
inline constexpr int max_interruptions = 16;
bool was_interrupted();

// Repeats the system call while a signal interrupts it, up to the limit.
template <class Call>
auto uninterrupted(Call call) {
  auto result = call();
  for (int i = 0; i < max_interruptions && result < 0 && was_interrupted(); ++i) result = call();
  return result;
}

}  // namespace pearchute
