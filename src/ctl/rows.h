// Rows of a command's output that several commands share, and the times in them.
#pragma once

#include <cstdint>
#include <string>

#include "admin.pb.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"

namespace pearchute::ctl {

// A row that names the instance and its zone.
nlohmann::ordered_json instance_row(const Instance& instance);
nlohmann::ordered_json order_row(const admin::v1::Order& order);

// A span for people: "4.2s", "75s", "3h07m".
std::string age_text(std::uint64_t milliseconds);
// In whole seconds: "75s".
std::string seconds_text(std::uint64_t milliseconds);
std::uint64_t unix_milliseconds();  // of the system's clock

}  // namespace pearchute::ctl
