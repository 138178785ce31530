// The INI file of slopes. Each slope has a section with its name, such as [manager.statement_cpu.by_engines],
// and the keys role, quantity, unit, driver, driver_unit, shape, a, b, c, point_1 = driver:value and so on,
// left_out (a driver), left_out_measured, left_out_predicted, left_out_error and source (continued in
// source_2 and so on if it is too long for one line). All of them are required and no others are allowed. A
// file without sections is valid; it has no slopes yet. The section has only the slope's name, because the
// INI library cuts off a section's name at 49 characters and a line at 199.
#pragma once

#include <string>
#include <vector>

#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

// Returns the slopes in the order of the file. Throws SlopeError, with the file, the section and the command
// to run, for an unreadable or invalid file.
std::vector<Slope> read_slopes(const std::string& path);

// Writes a file from which read_slopes() returns equal slopes. The file is replaced in one step, by renaming
// a temporary file. Throws SlopeError for a slope that read_slopes() would refuse, and SystemError if the
// file can't be written.
void write_slopes(const std::string& path, const std::vector<Slope>& slopes);

// Returns `existing` with each measured slope in the place of the one with the same name, or at the end.
std::vector<Slope> merge_slopes(std::vector<Slope> existing, const std::vector<Slope>& measured);

}  // namespace pearchute::lab::capacity
