// The operators' commands over certificates; they need no fleet.
#pragma once

#include <string>

#include "ctl/output.h"

namespace pearchute::ctl {

struct KeyAsk {
  std::string folder = "/etc/pearchute/keys", name, role, file;
  int days = 365;
};
// Each returns an exit status, and throws keys::Error with what is wrong.
int keys_init(const KeyAsk& ask, Output& output);
int keys_issue(const KeyAsk& ask, Output& output);
int keys_revoke(const KeyAsk& ask, Output& output);
int keys_show(const KeyAsk& ask, Output& output);  // one file, or all that the folder holds

}  // namespace pearchute::ctl
