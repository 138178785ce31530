// Whether the operator has interrupted the command (SIGINT): what has begun is finished, nothing else begins.
#pragma once

namespace pearchute::ctl {

void watch_for_interrupt();
bool interrupted();

}  // namespace pearchute::ctl
