// Reads certificates, each of which states a name, a role and a period of validity, and the revocation list
// of their authority.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "errors/error.h"
#include "fleet/roles.h"

namespace pearchute::keys {

// A fault in a certificate, a key or a revocation list. The file that it names is left unchanged.
using Error = KeysError;

// The contents of a certificate. The holder of a certificate without a role has no rights.
struct Certificate {
  std::string name;
  std::string serial;  // in hexadecimal
  std::optional<fleet::Role> role;
  std::chrono::system_clock::time_point valid_from;
  std::chrono::system_clock::time_point valid_until;
};

// Throws KeysError if `pem` is not a certificate.
Certificate parse_certificate(const std::string& pem);
// Throws KeysError if the file can't be read or is not a certificate, ResourceShortage if it temporarily
// can't be read.
Certificate read_certificate(const std::string& file);

// The serials of the certificates that an authority's list revokes. Throws KeysError if a file can't be used
// or the authority has not signed the list, ResourceShortage if a file temporarily can't be read.
std::vector<std::string> revoked_serials(const std::string& list_file, const std::string& authority_file);

}  // namespace pearchute::keys
