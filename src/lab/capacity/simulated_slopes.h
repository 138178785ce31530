// Slopes out of what simulations print: `measure levels` and `measure configuration` end with a JSON object
// that holds figures for several numbers of agents. Pure.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

// Of the one or the other, told apart by their keys ("after", "calm_NUMBER"); the second largest number of
// agents is left out of the fit. Throws SlopeError where it is neither, lacks a figure, or has too few sizes.
std::vector<Slope> simulated_slopes(const nlohmann::json& measured);

}  // namespace pearchute::lab::capacity
