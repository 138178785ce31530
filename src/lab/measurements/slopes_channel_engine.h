// What the channel of the engine list and one engine see from all managers together, against how many
// managers there are.
#pragma once

#include <chrono>
#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct ChannelEnginePlan {
  std::vector<int> managers = {2, 4, 8, 16, 24};
  int engines = 16;
  int windows = 3;  // of which the median counts
  std::chrono::milliseconds window{800};
  int list_events = 10;
  std::chrono::milliseconds statement{5000};  // lasts as long as signs of life are counted
};

std::vector<MeasuredSeries> measure_channel_engine_slopes(const Bench& bench,
                                                          const ChannelEnginePlan& plan = {});

}  // namespace pearchute::lab
