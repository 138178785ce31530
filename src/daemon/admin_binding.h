// A running manager under its operators: answers the admin channel's calls, merges their orders into the list
// of engines, and drains the manager. It puts the parts together; what an order does is decided by
// fleet::Drains, when to turn calls away and end by fleet::Quiescence, and where jobs go by the module alone.
#pragma once

#include "admin/terms.h"
#include "daemon/program.h"

namespace pearchute::daemon {

// `file` is the program's configuration.
net::Program::MakeAnnex governor_by(const admin::Terms& terms, const std::string& file);

}  // namespace pearchute::daemon
