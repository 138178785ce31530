#include "keys/tls_files.h"

namespace pearchute::keys {

bool set_tls_file(TlsFiles& files, const std::string& name, const std::string& path) {
  if (name == "authority") files.authority = path;
  else if (name == "certificate") files.certificate = path;
  else if (name == "key") files.key = path;
  else if (name == "revoked") files.revoked = path;
  else return false;
  return true;
}

std::string missing_tls_file(const TlsFiles& files) {
  if (files.authority.empty()) return "authority";
  if (files.certificate.empty()) return "certificate";
  return files.key.empty() ? "key" : "";
}

}  // namespace pearchute::keys
