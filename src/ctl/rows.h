// Output rows that several commands share, and the formatting of durations.
#pragma once

#include <cstdint>
#include <string>

#include "admin.pb.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"

namespace pearchute::ctl {

// A row with the name and the zone of the instance.
nlohmann::ordered_json instance_row(const Instance& instance);
nlohmann::ordered_json order_row(const admin::v1::Order& order);

// Formats a duration for operators: "4.2s", "75s", "3h07m".
std::string age_text(std::uint64_t milliseconds);
// Formats a duration in whole seconds: "75s".
std::string seconds_text(std::uint64_t milliseconds);
std::uint64_t unix_milliseconds();  // the current wall-clock time

}  // namespace pearchute::ctl
