// The commands that manage certificates. They need no fleet file.
#pragma once

#include <string>

#include "ctl/output.h"

namespace pearchute::ctl {

// Options of these commands; each command uses some of them.
struct KeyOptions {
  std::string folder = "/etc/pearchute/keys";  // of the authority
  std::string name;                            // of the site, or of the certificate's holder
  std::string role;
  std::string file;  // the certificate to show; empty: all in the folder
  int days = 365;    // validity of a new certificate
};

// Each command returns the exit status, and throws KeysError.
int keys_init(const KeyOptions& options, Output& output);
int keys_issue(const KeyOptions& options, Output& output);
int keys_revoke(const KeyOptions& options, Output& output);
int keys_show(const KeyOptions& options, Output& output);

}  // namespace pearchute::ctl
