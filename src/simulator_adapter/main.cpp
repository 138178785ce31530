// The entry point of pearchute_drill, the adapter between the operators' simulator and the workload managers:
// reads batches from standard input and writes replies to standard output.
#include <exception>
#include <iostream>

#include "errors/error.h"
#include "simulator_adapter/session.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    pearchute::simulator_adapter::Session(std::cin, std::cout).run();
  } catch (const std::exception& error) {
    pearchute::print_error(std::cerr, "pearchute_drill", error);
    return 1;
  }
  return 0;
}
