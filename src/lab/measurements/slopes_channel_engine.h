// How the load of the engine-list channel and of one engine grows with the number of managers: connections,
// bytes and liveness probes from all managers together.
#pragma once

#include <chrono>
#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct ChannelEnginePlan {
  std::vector<int> managers = {2, 4, 8, 16, 24};
  int engines = 16;
  int windows = 3;  // the result is their median
  std::chrono::milliseconds window{800};
  int list_events = 10;
  std::chrono::milliseconds statement{5000};  // the length of the statements; covers all windows
};

std::vector<MeasuredSeries> measure_channel_engine_slopes(const MeasurementOptions& options,
                                                          const ChannelEnginePlan& plan = {});

}  // namespace pearchute::lab
