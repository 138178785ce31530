#include <exception>
#include <iostream>

#include "errors/error.h"
#include "session.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    pearchute::drill::Session(std::cin, std::cout).run();
  } catch (const std::exception& error) {
    pearchute::print_error(std::cerr, "pearchute_drill", error);
    return 1;
  }
  return 0;
}
