// Handles SIGINT: an interrupted command completes the steps that have begun, and begins no further ones.
#pragma once

namespace pearchute::ctl {

void watch_for_interrupt();  // installs the handler
bool interrupted();          // whether SIGINT has been received

}  // namespace pearchute::ctl
