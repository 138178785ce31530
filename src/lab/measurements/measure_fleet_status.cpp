// One `pearchutectl status` over two hundred stand-in admin endpoints, ten of which never answer. It must
// take about as long as the timeout of one endpoint, not the sum of the ten: less than two timeouts.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/measurements/measurements.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

int measure_fleet_status(const MeasurementOptions& options) {
  const int endpoints = options.size > 0 ? options.size : 200, silent = endpoints / 20;
  constexpr double limit_s = 1;
  char folder[] = "/tmp/pearchute-lab-XXXXXX";
  if (!::mkdtemp(folder)) throw SystemError("can't create a folder for the laboratory's files", "/tmp");
  std::ofstream file(std::string(folder) + "/fleet.ini");
  file << "[fleet]\ntimeout_ms = 1000\n";
  net::EventLoopThread loop_thread;
  std::vector<std::unique_ptr<StandInManager>> managers;
  std::vector<std::unique_ptr<SilentPlace>> silent_endpoints;
  for (int i = 0; i < endpoints; ++i) {
    const std::string name = "n" + std::to_string(i), path = std::string(folder) + "/" + name;
    file << "[instance " << name << "]\nadmin = unix:" << path << "\n";
    // The silent endpoints are spread evenly over the file.
    if (i % 20 == 7) silent_endpoints.push_back(std::make_unique<SilentPlace>(path));
    else
      loop_thread.on(
          [&] { managers.push_back(std::make_unique<StandInManager>(loop_thread.loop(), path, name)); });
  }
  file.close();
  const Ran result =
      run_program(options.programs + "/pearchutectl",
                  {"--fleet", std::string(folder) + "/fleet.ini", "--output", "json", "status"});
  int answered = 0, silent_seen = 0;
  for (const auto& row : nlohmann::json::parse(result.out)) {
    answered += row.value("state", "") == "serving";
    silent_seen += row.value("state", "") == "silent";
  }
  loop_thread.on([&] { managers.clear(); });
  silent_endpoints.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  const nlohmann::json report = {{"endpoints", endpoints},    {"answered", answered},
                                 {"silent", silent_seen},     {"status", result.status},
                                 {"seconds", result.seconds}, {"limit_s", limit_s}};
  std::cout << report.dump() << std::endl;
  const bool all_accounted_for =
      answered == endpoints - silent && silent_seen == silent && result.status == 3;
  return all_accounted_for && result.seconds < 2 * limit_s ? 0 : 1;
}

}  // namespace pearchute::lab
