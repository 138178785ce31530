#include "ctl/interrupt.h"

#include <csignal>

namespace pearchute::ctl {

namespace {

volatile std::sig_atomic_t interrupt_received = 0;

}  // namespace

void watch_for_interrupt() {
  std::signal(SIGINT, [](int) { interrupt_received = 1; });
}

bool interrupted() { return interrupt_received != 0; }

}  // namespace pearchute::ctl
