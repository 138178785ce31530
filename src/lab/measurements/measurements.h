// The measurements of `pearchute-lab measure`. Each prints one JSON object as the last line of standard
// output, and returns an exit status other than 0 where a rule or a bound that it checks is broken.
#pragma once

#include <cstdint>
#include <string>

namespace pearchute::lab {

// Options of a measurement, from the command line.
struct MeasurementOptions {
  std::uint64_t seed = 1;
  int size = 0;           // the number of runs or of processes; 0: the measurement's default
  std::string programs;   // the folder of pearchuted, pearchute-agent and pearchutectl
  std::string group;      // of slopes, by name; empty: all
  std::string out;        // the file of slopes to write; empty: none
  std::string faults;     // the faults of a scale run, names separated by commas; empty: all
  std::string predicted;  // a JSON file of a scale run's predicted figures; empty: none
};

int measure_drain(const MeasurementOptions& options);
int measure_fleet_status(const MeasurementOptions& options);
int measure_rollout(const MeasurementOptions& options);
int measure_managers(const MeasurementOptions& options);
int measure_list_scale(const MeasurementOptions& options);
int measure_gossip(const MeasurementOptions& options);
int measure_budget_leases(const MeasurementOptions& options);
int measure_overload(const MeasurementOptions& options);
int measure_slopes(const MeasurementOptions& options);
int measure_scale(const MeasurementOptions& options);
int measure_configuration(const MeasurementOptions& options);
int measure_levels(const MeasurementOptions& options);

}  // namespace pearchute::lab
