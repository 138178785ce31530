// The daemon's entry: puts the program together and runs it. What can't be started is one plain line on
// standard error and a status of 1.
#include <Poco/Exception.h>

#include <exception>
#include <iostream>

#include "daemon/program.h"

int main() {
  try {
    return pearchute::net::Program().run();
  } catch (const Poco::Exception& error) {
    std::cerr << "pearchuted: " << error.displayText() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "pearchuted: " << error.what() << "\n";
  }
  return 1;
}
