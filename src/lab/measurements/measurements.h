// The measurements, by name. Each prints one JSON object on the last line of standard output, and returns a
// status other than 0 where it breaks what it must show.
#pragma once

#include <cstdint>
#include <string>

namespace pearchute::lab {

struct Bench {
  std::uint64_t seed = 1;
  int size = 0;           // 0: as documented
  std::string programs;   // the folder of the programs
  std::string group;      // of slopes; empty: all
  std::string out;        // a file of slopes to write; empty: none
  std::string faults;     // of a scale run, by name; empty: all
  std::string predicted;  // the file of a scale run's predicted figures
};

int measure_drain(const Bench& bench);
int measure_fleet_status(const Bench& bench);
int measure_rollout(const Bench& bench);
int measure_managers(const Bench& bench);
int measure_list(const Bench& bench);
int measure_word(const Bench& bench);
int measure_parts(const Bench& bench);
int measure_overload(const Bench& bench);
int measure_slopes(const Bench& bench);
int measure_scale(const Bench& bench);
int measure_configuration(const Bench& bench);
int measure_levels(const Bench& bench);

}  // namespace pearchute::lab
