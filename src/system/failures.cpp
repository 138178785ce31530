#include "system/failures.h"

#include <cerrno>
#include <system_error>

namespace pearchute {

Failure failure_of(int error_number) {
  switch (error_number) {
    case EINTR:
    case EAGAIN:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:
    case EADDRNOTAVAIL:
    case ENETUNREACH:
    case ENETDOWN:
      return Failure::not_now;
    default:
      return Failure::never;
  }
}

std::string text_of_error(int error_number) { return std::generic_category().message(error_number); }

bool was_interrupted() { return errno == EINTR; }

Failure last_failure() { return failure_of(errno); }

std::string text_of_last_error() { return text_of_error(errno); }

}  // namespace pearchute
