// Starts a process that outlives this one.
#pragma once

#include <string>

namespace pearchute::ctl {

// Runs a shell command in a new session, detached from this process, with /dev/null as its standard streams.
// Its exit status is not reported. Throws ResourceShortage where a process cannot be forked for the moment.
void start_detached(const std::string& command);

}  // namespace pearchute::ctl
