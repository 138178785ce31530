// Programs that hold several tests by name: one is named on the command line, or all are played.
#pragma once

#include <cstring>
#include <span>

namespace pearchute::test {

struct Scenario {
  const char* name;
  void (*play)();
};

// The program's status: 0 where something was played, 2 where no scenario has that name.
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
