// The certificate authority of a site, which keeps its files in one folder. It issues certificates, each with
// a name and a role, and revokes them. Private keys are stored only in their files, of mode 0600.
// fleet/roles.h defines the rights of each role.
//
// Files are replaced atomically. Only one process at a time may use the folder.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet/roles.h"
#include "keys/certificate.h"

namespace pearchute::keys {

// All functions throw KeysError if their input or a file can't be used, and ResourceShortage if a file
// temporarily can't be read.
class Authority {
 public:
  explicit Authority(std::string folder) : folder_(std::move(folder)) {}

  // Creates ca.key, ca.pem and an empty ca.crl. Throws KeysError if the folder already holds an authority.
  void init(const std::string& site, std::chrono::hours lifetime);

  // Creates NAME.key and NAME.pem, or replaces them, which renews the certificate. The holder of a
  // certificate without a role has no rights.
  Certificate issue(const std::string& name, std::optional<fleet::Role> role, std::chrono::seconds lifetime);

  // Adds the certificate's serial to ca.crl, unless the list contains it already.
  void revoke(const Certificate& certificate);

  // The certificates whose files are in the folder, sorted by name; without the authority's own.
  std::vector<Certificate> issued() const;

  std::string path(const std::string& file) const { return folder_ + "/" + file; }

 private:
  const std::string folder_;
};

}  // namespace pearchute::keys
