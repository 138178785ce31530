// The slopes of a manager's data path: what a statement, a client connection and an engine cost it in
// processor time, memory, descriptors and time until it is ready. Runs real processes on loopback, for under
// four minutes.
#pragma once

#include <vector>

#include "lab/capacity/slope.h"
#include "lab/measurements/measurements.h"

namespace pearchute::lab {

// Returns manager.statement_cpu.by_engines, manager.cpu_share.by_rate, manager.statement_cpu.by_open,
// manager.memory.by_idle_connections, manager.memory.by_open_statements, manager.memory.by_engines_known,
// manager.memory.by_engines_connected, manager.descriptors.by_connections, manager.ready_time.by_engines.
std::vector<capacity::Slope> measure_manager_data_slopes(const MeasurementOptions& options);

}  // namespace pearchute::lab
