// Starting a program that outlives this one.
#pragma once

#include <string>

namespace pearchute::ctl {

// Runs a shell command in a session of its own, as nobody's child, without standard streams. Throws
// ResourceShortage where no process can be had for it now.
void start_detached(const std::string& command);

}  // namespace pearchute::ctl
