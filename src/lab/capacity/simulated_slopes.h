// Slopes from the output of simulations: `measure levels` and `measure configuration` end with a JSON object
// that has figures for several numbers of agents.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

// Returns the slopes of either measurement, which is recognized by its keys ("after" or "calm_NUMBER"). The
// second largest number of agents is left out of the fit. Throws SlopeError if the object is of neither
// measurement, lacks a figure, or has too few sizes.
std::vector<Slope> simulated_slopes(const nlohmann::json& measured);

}  // namespace pearchute::lab::capacity
