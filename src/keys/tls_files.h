// The files that a program needs for TLS: its own certificate and key, and the authority that it trusts. The
// section [tls] of an INI file names them.
#pragma once

#include <string>

namespace pearchute::keys {

// Paths of PEM files. `revoked` is the authority's revocation list; if it is empty, no certificate is
// revoked.
struct TlsFiles {
  std::string authority;
  std::string certificate;
  std::string key;
  std::string revoked;
};

// Sets the path that a line `name = path` of a section [tls] configures. Returns false if `name` is unknown.
bool set_tls_file(TlsFiles& files, const std::string& name, const std::string& path);

// The name of the first required file that is not set; empty if all are set.
std::string missing_tls_file(const TlsFiles& files);

}  // namespace pearchute::keys
