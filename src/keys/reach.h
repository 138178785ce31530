// Where an agent is reached: `unix:/path`, which only its own user can open, or `tls:host:port`, where both
// sides show certificates of the site's authority. Nothing else is taken.
#pragma once

#include <string>

namespace pearchute::keys {

struct Reach {
  std::string text, target;
  bool tls = false;
};
// Throws AddressError.
Reach reach_in(const std::string& text);

// Of one that shows a certificate, and of whom it trusts. `revoked` may be empty: nobody is.
struct Files {
  std::string authority, certificate, key, revoked;
  bool given() const { return !authority.empty(); }
};
// Takes a line of a [tls] section; false where its name is not known.
bool take(Files& files, const std::string& name, const std::string& text);
// What is missing, or nothing.
std::string missing(const Files& files);

}  // namespace pearchute::keys
