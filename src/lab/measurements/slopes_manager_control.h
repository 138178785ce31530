// What a manager spends on control, against the engines that it knows: at rest, for events of the engine
// list, for signs of life of engines, for the admin channel, and for connections after a restart.
#pragma once

#include <chrono>
#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct ManagerControlPlan {
  std::vector<int> engines = {80, 160, 320, 640, 1024};
  int windows = 3;  // of which the median counts
  std::chrono::milliseconds rest_window{1500};
  int list_events = 10;  // in a window
  // A start has read its list and is at rest well within this time, at a thousand engines too.
  std::chrono::milliseconds start_window{1200};
  // Statements that open connections, and those that wait for as long as signs of life are counted.
  std::chrono::milliseconds opening_statement{2000};
  std::chrono::milliseconds waiting_statement{4500};
  int status_calls = 50;  // in a window
};

std::vector<MeasuredSeries> measure_manager_control_slopes(const Bench& bench,
                                                           const ManagerControlPlan& plan = {});

}  // namespace pearchute::lab
