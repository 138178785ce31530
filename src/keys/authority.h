// The certificate authority of a site, in a folder of its own: it issues certificates, each with a name and a
// role, and revokes them. Private keys never leave their files (mode 0600). What a role may do, fleet/roles
// decides.
//
// Each file is replaced as a whole or not at all. One process at a time uses a folder.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet/roles.h"
#include "keys/certificate.h"

namespace pearchute::keys {

// One folder. All functions throw KeysError where something is wrong with their input or a file, and
// ResourceShortage where a file can't be read now.
class Authority {
 public:
  explicit Authority(std::string folder) : folder_(std::move(folder)) {}

  // Creates ca.key, ca.pem and an empty ca.crl. Throws where the folder holds an authority already.
  void init(const std::string& site, std::chrono::hours lifetime);

  // Creates NAME.key and NAME.pem; a certificate is renewed by issuing it again. Without a role its holder
  // may do nothing.
  Certificate issue(const std::string& name, std::optional<fleet::Role> role, std::chrono::seconds lifetime);

  // Adds the certificate's serial to ca.crl; no change where it is there already.
  void revoke(const Certificate& certificate);

  // The certificates whose files are in the folder, by name.
  std::vector<Certificate> issued() const;

  std::string path(const std::string& file) const { return folder_ + "/" + file; }

 private:
  const std::string folder_;
};

}  // namespace pearchute::keys
