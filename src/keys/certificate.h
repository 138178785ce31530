// Certificates as the programs see them: a name and a role, within a time. Reads them and the authority's
// revocation list; issues none.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "errors/error.h"
#include "fleet/roles.h"

namespace pearchute::keys {

// What is wrong with a certificate, a key or a list; nothing was changed.
using Error = KeysError;

// What a certificate states. Without a role its holder may do nothing.
struct Certificate {
  std::string name;
  std::string serial;  // in hexadecimal
  std::optional<fleet::Role> role;
  std::chrono::system_clock::time_point valid_from;
  std::chrono::system_clock::time_point valid_until;
};

// Throws KeysError where it is no certificate.
Certificate parse_certificate(const std::string& pem);
// The same, and ResourceShortage where the file can't be read now.
Certificate read_certificate(const std::string& file);

// The serials that an authority's list revokes. Throws KeysError where the list is not signed by that
// authority, and as read_certificate does.
std::vector<std::string> revoked_serials(const std::string& list_file, const std::string& authority_file);

}  // namespace pearchute::keys
