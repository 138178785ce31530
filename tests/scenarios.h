// Runs test programs that consist of several named scenarios: the one named on the command line, or all.
#pragma once

#include <cstring>
#include <span>

namespace pearchute::test {

struct Scenario {
  const char* name;
  void (*play)();
};

// Returns the program's exit status: 0, or 2 if no scenario has the given name.
inline int play_named(std::span<const Scenario> scenarios, int count, char** names) {
  bool played = false;
  for (const Scenario& one : scenarios) {
    if (count > 1 && std::strcmp(names[1], one.name) != 0) continue;
    one.play();
    played = true;
  }
  return played ? 0 : 2;
}

}  // namespace pearchute::test
