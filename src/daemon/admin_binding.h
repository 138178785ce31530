// Connects a running manager with its admin channel: answers the channel's calls, merges operators' drain
// directives into the endpoint list, and drains the manager. The effect of a directive is decided by
// fleet::Drains, when to reject requests and when to exit by fleet::Quiescence, and the placement of requests
// by the WorkloadManager alone.
#pragma once

#include "admin/admin_config.h"
#include "daemon/program.h"

namespace pearchute::daemon {

// Returns a factory for the extension that serves the admin channel. `file` is the path of the program's
// configuration.
net::Program::MakeExtension admin_extension(const admin::AdminConfig& config, const std::string& file);

}  // namespace pearchute::daemon
