#include "errors/error.h"

#include <ostream>

namespace pearchute {

void print_error(std::ostream& to, std::string_view program, const std::exception& error) {
  to << program << ": " << error.what() << "\n";
  if (const auto* fault = dynamic_cast<const Error*>(&error)) {
    to << program << ": " << fault->word() << ": " << fault->remedy() << "\n";
  } else {
    to << program << ": unforeseen: keep the line above and the log, and report them\n";
  }
}

}  // namespace pearchute
