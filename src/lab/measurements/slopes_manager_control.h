// How a manager's cost of control grows with the engines that it knows: at rest, for events of the engine
// list, for liveness probes of engines, for the admin channel, and for connections after a restart.
#pragma once

#include <chrono>
#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct ManagerControlPlan {
  std::vector<int> engines = {80, 160, 320, 640, 1024};
  int windows = 3;  // the result is their median
  std::chrono::milliseconds rest_window{1500};
  int list_events = 10;  // in a window
  // Long enough for a manager to start, read its list and be at rest, even with a thousand engines.
  std::chrono::milliseconds start_window{1200};
  // The length of the statements that open connections, and of those that stay open while liveness probes are
  // counted.
  std::chrono::milliseconds opening_statement{2000};
  std::chrono::milliseconds waiting_statement{4500};
  int status_calls = 50;  // in a window
};

std::vector<MeasuredSeries> measure_manager_control_slopes(const MeasurementOptions& options,
                                                           const ManagerControlPlan& plan = {});

}  // namespace pearchute::lab
