// Slopes in an INI file: one section for each slope, [manager.statement_cpu.by_engines], with the keys role,
// quantity, unit, driver, driver_unit, shape, a, b, c, point_1 = driver:value and so on, left_out (a driver),
// left_out_measured, left_out_predicted, left_out_error and source (source_2 and so on where
// one line is too short for it). All are needed; no other is known. A file
// without sections is a file in which nothing has been measured yet. The section is the slope's bare name,
// since the library that reads INI cuts a section's name at 49 characters and a line at 199.
#pragma once

#include <string>
#include <vector>

#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

// In the order of the file. Throws SlopeError with the file, the section and what to run.
std::vector<Slope> read_slopes(const std::string& path);

// Writes a file that read_slopes gives back unchanged, in one step (written beside it and renamed).
// Throws SlopeError for a slope that the reader would refuse and SystemError where the file can't be written.
void write_slopes(const std::string& path, const std::vector<Slope>& slopes);

// Those kept, with each that was measured anew put in the place of its older self, or at the end.
std::vector<Slope> merge_slopes(std::vector<Slope> kept, const std::vector<Slope>& measured);

}  // namespace pearchute::lab::capacity
