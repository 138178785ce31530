// What a system call's failure means, told from its error number in this one place: "not now" passes by
// itself, so whoever made the call tries again; "never" does not. It knows no socket and keeps no state.
#pragma once

#include <string>

#include "errors/error.h"

namespace pearchute {

// Whether a call that has failed may succeed later without any change here.
enum class Failure { not_now, never };

// Shortages of descriptors, memory and local ports pass, as does a network that is not up yet; everything
// else is taken for final.
Failure failure_of(int error_number);
std::string text_of_error(int error_number);
// Of the system call that this thread made last, which has failed.
Failure last_failure();
std::string text_of_last_error();

// An attempt to start or to read something that failed for a cause that may pass by itself.
class ResourceShortage : public SystemError {
 public:
  using SystemError::SystemError;
};

// Signals come far apart; whoever is interrupted more often than this goes on with its other work first.
inline constexpr int most_interruptions = 16;
bool was_interrupted();

// Makes the call again where a signal interrupted it.
template <class Call>
auto uninterrupted(Call call) {
  auto result = call();
  for (int i = 0; i < most_interruptions && result < 0 && was_interrupted(); ++i) result = call();
  return result;
}

}  // namespace pearchute
