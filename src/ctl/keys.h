// The operators' commands over certificates; they need no fleet.
#pragma once

#include <string>

#include "ctl/output.h"

namespace pearchute::ctl {

// Options of all commands over certificates; each uses some.
struct KeyOptions {
  std::string folder = "/etc/pearchute/keys";  // of the authority
  std::string name;                            // of the site, or of the certificate's holder
  std::string role;
  std::string file;  // to show; empty: all of the folder
  int days = 365;    // for which a certificate is valid
};

// Each returns an exit status, and throws keys::Error with what is wrong.
int keys_init(const KeyOptions& options, Output& output);
int keys_issue(const KeyOptions& options, Output& output);
int keys_revoke(const KeyOptions& options, Output& output);
int keys_show(const KeyOptions& options, Output& output);

}  // namespace pearchute::ctl
