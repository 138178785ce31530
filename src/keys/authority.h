// The certificates of a site: an authority in a folder of its own, which issues and revokes, on OpenSSL. A
// certificate holds a name and a role; keys never leave their files (mode 0600). It decides nothing about
// what a role may do.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "errors/error.h"
#include "fleet/roles.h"

namespace pearchute::keys {

// What is wrong, in plain words; nothing was changed.
using Error = KeysError;

struct Certificate {
  std::string name, serial;  // the serial in hex
  std::optional<fleet::Role> role;
  std::chrono::system_clock::time_point from, until;
};

class Authority {
 public:
  explicit Authority(std::string folder) : folder_(std::move(folder)) {}
  // Makes ca.key, ca.pem and an empty ca.crl. A folder that holds an authority already is left as it is.
  void init(const std::string& site, std::chrono::hours lasts);
  // Makes NAME.key and NAME.pem; to renew is to issue again. Without a role it may do nothing.
  Certificate issue(const std::string& name, std::optional<fleet::Role> role, std::chrono::seconds lasts);
  void revoke(const Certificate& certificate);
  std::vector<Certificate> issued() const;  // those whose files are in the folder
  std::string path(const std::string& file) const { return folder_ + "/" + file; }

 private:
  const std::string folder_;
};

Certificate read_certificate(const std::string& file);
Certificate certificate_in(const std::string& pem);
// The serials that an authority's list revokes. The list has to be signed by the authority.
std::vector<std::string> revoked_by(const std::string& list_file, const std::string& authority_file);
// Throws ResourceShortage where it can't be had now, KeysError where it can't be read.
std::string text_of(const std::string& file);

}  // namespace pearchute::keys
