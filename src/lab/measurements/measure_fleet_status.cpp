// One pearchutectl status over two hundred stand-in admin endpoints, ten of which never answer: it takes as
// long as the time limit of one, not their sum.
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

int measure_fleet_status(const Bench& bench) {
  const int endpoints = bench.size > 0 ? bench.size : 200, silent = endpoints / 20;
  constexpr double limit_s = 1;
  char folder[] = "/tmp/pearchute-lab-XXXXXX";
  if (!::mkdtemp(folder)) throw SystemError("no folder for the laboratory's files", "/tmp");
  std::ofstream file(std::string(folder) + "/fleet.ini");
  file << "[fleet]\ntimeout_ms = 1000\n";
  net::EventLoopThread stage;
  std::vector<std::unique_ptr<StandInManager>> managers;
  std::vector<std::unique_ptr<SilentPlace>> places;
  for (int i = 0; i < endpoints; ++i) {
    const std::string name = "n" + std::to_string(i), path = std::string(folder) + "/" + name;
    file << "[instance " << name << "]\nadmin = unix:" << path << "\n";
    // The silent ones are spread over the file.
    if (i % 20 == 7) places.push_back(std::make_unique<SilentPlace>(path));
    else stage.on([&] { managers.push_back(std::make_unique<StandInManager>(stage.loop(), path, name)); });
  }
  file.close();
  const Ran ran = run_program(bench.programs + "/pearchutectl",
                              {"--fleet", std::string(folder) + "/fleet.ini", "--output", "json", "status"});
  int answered = 0, unanswered = 0;
  for (const auto& row : nlohmann::json::parse(ran.out)) {
    answered += row.value("state", "") == "serving";
    unanswered += row.value("state", "") == "silent";
  }
  stage.on([&] { managers.clear(); });
  places.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  const nlohmann::json told = {{"endpoints", endpoints}, {"answered", answered},   {"silent", unanswered},
                               {"status", ran.status},   {"seconds", ran.seconds}, {"limit_s", limit_s}};
  std::cout << told.dump() << std::endl;
  const bool all = answered == endpoints - silent && unanswered == silent && ran.status == 3;
  return all && ran.seconds < 2 * limit_s ? 0 : 1;
}

}  // namespace pearchute::lab
