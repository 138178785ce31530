// The files that a program needs for TLS: its own certificate and key, and the authority that it trusts, as
// the [tls] sections of INI files name them.
#pragma once

#include <string>

namespace pearchute::keys {

// Paths of PEM files. `revoked`, the authority's revocation list, may be empty: no certificate is revoked.
struct TlsFiles {
  std::string authority;
  std::string certificate;
  std::string key;
  std::string revoked;
};

// Sets the file that a line `name = path` of a [tls] section names; false where the name is unknown.
bool set_tls_file(TlsFiles& files, const std::string& name, const std::string& path);

// The name of the first required file that is not set; empty where all are.
std::string missing_tls_file(const TlsFiles& files);

}  // namespace pearchute::keys
