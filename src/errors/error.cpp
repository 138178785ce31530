#include "errors/error.h"

#include <ostream>

namespace pearchute {

void print_error(std::ostream& to, std::string_view program, const std::exception& error) {
  to << program << ": " << error.what() << "\n";
  if (const auto* typed_error = dynamic_cast<const Error*>(&error)) {
    to << program << ": " << typed_error->key() << ": " << typed_error->remedy() << "\n";
  } else {
    to << program << ": unforeseen: report the message above together with the log\n";
  }
}

}  // namespace pearchute
