// Tests of slopes: fits of given points, the prediction at the size left out, measurements that are too small
// for a slope, the slopes file with its errors, and slopes from simulations.
#include <cassert>
#include <cmath>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "capacity_test_helpers.h"
#include "lab/capacity/capacity_command.h"
#include "lab/capacity/simulated_slopes.h"
#include "lab/capacity/slope.h"
#include "lab/capacity/slopes_file.h"

using namespace pearchute::lab::capacity;

namespace {

const std::string scratch_file = "test_slope_fits.ini";

SlopeDescription description(const std::string& name) {
  return {name, "manager", "processor time of a statement", "us/statement", "engines known", "engines"};
}

struct FitCase {
  const char* name;
  std::vector<double> drivers;
  std::function<double(double)> value;
  Shape shape;
  double a, b, c, tolerance;
};

void fits_have_the_shape_of_their_points() {
  const std::vector<double> five = {80, 160, 320, 640, 1024};
  const std::vector<double> six = {10, 20, 40, 80, 120, 160};
  const std::vector<FitCase> cases = {
      {"constant", five, [](double) { return 40.0; }, Shape::constant, 40, 0, 0, 1e-6},
      {"linear", five, [](double x) { return 50 + 0.25 * x; }, Shape::linear, 50, 0.25, 0, 1e-6},
      {"falling line", five, [](double x) { return 500 - 0.25 * x; }, Shape::linear, 500, -0.25, 0, 1e-6},
      {"quadratic", six, [](double x) { return 3 + 2 * x + 0.5 * x * x; }, Shape::quadratic, 3, 2, 0.5, 1e-4},
      {"power", five, [](double x) { return 3 * std::pow(x, 1.5); }, Shape::power, 3, 1.5, 0, 1e-4},
      // Over a wide range a line deviates more at the end than a constant does; a power function fits.
      {"flattening",
       {5, 50, 100, 200, 630, 1260},
       [](double x) { return 2200 * std::pow(x, 0.25); },
       Shape::power,
       2200,
       0.25,
       0,
       1e-3},
      {"through the origin", five, [](double x) { return x / 3; }, Shape::linear, 0, 1 / 3.0, 0, 1e-6},
      {"nearly a line", five,
       [](double x) { return (50 + 0.25 * x) * (static_cast<int>(x) % 3 == 0 ? 1.005 : 1.0); }, Shape::linear,
       50, 0.25, 0, 0.1}};
  for (const FitCase& one : cases) {
    const Slope slope =
        fit_slope(description(one.name), points_of(one.drivers, one.value), one.drivers.size() - 2);
    assert(slope.shape == one.shape);
    assert(close_to(slope.a, one.a, one.tolerance));
    assert(close_to(slope.b, one.b, one.tolerance));
    assert(close_to(slope.c, one.c, one.tolerance));
    assert(slope.points.size() == one.drivers.size() - 1);
    assert(slope.left_out.driver == one.drivers[one.drivers.size() - 2]);
    assert(close_to(slope.at(200), one.value(200), std::max(1e-4, one.tolerance)));
    check_slope(slope);
  }
}

void the_size_left_out_is_predicted() {
  // A line through 80, 160 and 640 gives 1024 the value 306; 340 was measured there.
  const Slope slope =
      fit_slope(description("s"), {{1024, 340}, {80, 70}, {640, 210}, {160, 90}}, 0, "a table");
  assert(slope.shape == Shape::linear && close_to(slope.a, 50) && close_to(slope.b, 0.25));
  assert(close_to(slope.predicted, 306) && close_to(slope.error, 0.1));
  assert(slope.points.front().driver == 80 && slope.source == "a table");
  assert(slope.covers(80) && slope.covers(1024) && !slope.covers(79) && !slope.covers(1025));
}

void a_cost_beyond_the_range_is_not_underestimated() {
  const std::vector<double> five = {80, 160, 320, 640, 1024};
  const Slope falling =
      fit_slope(description("s"), points_of(five, [](double x) { return 500 - 0.25 * x; }), 4);
  assert(close_to(falling.at(4000), 244));
  const Slope steep = fit_slope(description("s"), points_of(five, [](double x) { return x - 60; }), 4);
  assert(steep.at(10) == 0);
}

void unusable_measurements_are_refused() {
  const SlopeDescription one = description("s.t");
  const std::string remedy = "pearchute-lab measure slopes";
  expect_parts(error_of([&] { fit_slope(one, {{1, 1}, {4, 4}, {8, 8}}, 0); }), {"[s.t]", "3 sizes", remedy});
  expect_parts(error_of([&] {
                 fit_slope(one, {{1, 1}, {2, 2}, {4, 4}, {7, 7}}, 0);
               }),
               {"[s.t]", "drivers from 1 to 7", "at least 8 times", remedy});
  expect_parts(error_of([&] {
                 fit_slope(one, {{1, 1}, {2, 2}, {8, 4}, {8, 7}}, 0);
               }),
               {"[s.t]", "two points with the driver 8"});
  expect_parts(error_of([&] {
                 fit_slope(one, {{1, 1}, {2, -2}, {4, 4}, {8, 8}}, 0);
               }),
               {"[s.t]", "the value -2; expected a number of at least 0"});
  expect_parts(error_of([&] {
                 fit_slope(one, {{-1, 1}, {2, 2}, {4, 4}, {8, 8}}, 0);
               }),
               {"[s.t]", "the driver -1; expected a number of at least 0"});
  expect_parts(error_of([&] {
                 fit_slope(one, {{1, 1}, {2, NAN}, {4, 4}, {8, 8}}, 0);
               }),
               {"[s.t]", "the value nan; expected a number"});
  expect_parts(error_of([&] {
                 fit_slope(one, {{1, 1}, {2, 2}, {4, 4}, {8, 8}}, 4);
               }),
               {"[s.t]", "has 4 sizes; there is no size 4", "left out"});
  SlopeDescription unnamed = one;
  unnamed.unit = "";
  expect_parts(error_of([&] {
                 fit_slope(unnamed, {{1, 1}, {2, 2}, {4, 4}, {8, 8}}, 0);
               }),
               {"[s.t]", "'unit'"});
}

std::vector<Slope> two_slopes() {
  SlopeDescription longest = description("manager.heartbeat_bytes.by_engines_connected");
  std::string source = "measured; the median of three";
  for (int i = 0; i < 40; ++i) source += " windows of 1.5 s";
  return {fit_slope(description("manager.statement_cpu.by_engines"),
                    {{80, 95.1234567}, {160, 111.3}, {320, 147.9}, {740, 225}, {1024, 290.25}}, 3, "one run"),
          fit_slope(longest, {{1, 0.1}, {3, 0.9}, {9, 8.1}, {27, 72.9}, {81, 656.1}}, 4, source)};
}

void a_file_gives_back_what_was_written() {
  const std::vector<Slope> slopes = two_slopes();
  write_slopes(scratch_file, slopes);
  assert(read_slopes(scratch_file) == slopes);
  const std::string text = read_file(scratch_file);
  write_slopes(scratch_file, read_slopes(scratch_file));
  assert(read_file(scratch_file) == text);
  write_slopes(scratch_file, {});
  assert(read_slopes(scratch_file).empty());

  Slope newer = slopes[0];
  newer.source = "another run";
  const std::vector<Slope> merged = merge_slopes(slopes, {newer});
  assert(merged.size() == 2 && merged[0] == newer && merged[1] == slopes[1]);
  assert(merge_slopes({}, slopes) == slopes);
}

void a_bad_slopes_file_is_refused() {
  write_slopes(scratch_file, two_slopes());
  const std::string good = read_file(scratch_file);
  const std::string section = "[manager.statement_cpu.by_engines]";
  struct Case {
    std::string from, to;
    std::vector<std::string> parts;
  };
  const std::vector<Case> cases = {
      {"unit = us/statement\n", "", {section, "'unit' is missing", "measure slopes"}},
      {"source = one run\n", "", {section, "'source' is missing"}},
      {"left_out_error", "left_out_wrong", {":", "unknown key 'left_out_wrong' in " + section}},
      {"a = ", "a = x", {"'a': expected a number, got 'x", "measure slopes"}},
      {"shape = linear",
       "shape = cubic",
       {"'shape': expected constant, linear, quadratic or power, got 'cubic'"}},
      {"point_1 = 80:95.1235", "point_1 = 80", {"'point_1': expected driver:value, got '80'"}},
      {"point_1 = 80:95.1235",
       "point_1 = 80:-95",
       {section, "the value -95; expected a number of at least 0"}},
      {"point_1 = 80:95.1235",
       "point_1 = -80:95",
       {section, "the driver -80; expected a number of at least 0"}},
      {"point_2 = ", "point_3 = ", {"'point_3'", "out of order"}},
      {"point_2 = 160:111.3\npoint_3 = 320:147.9\npoint_4 = 1024:290.25\n", "", {section, "2 sizes"}},
      {"role = manager\n", "role = manager\nrole = manager\n", {"'role' is set twice"}},
      {"left_out_measured = 225", "left_out_measured = 200", {section, "'left_out_error'"}},
      {"a = ", "a = 1", {section, "'left_out_predicted'"}},
      {"[manager.statement", "nonsense\n[manager.statement", {":3", "expected [section] or name = value"}},
      {"[manager.statement", "x = 1\n[manager.statement", {"'x' is not in a section"}}};
  for (const Case& one : cases) {
    write_file(scratch_file, with(good, one.from, one.to));
    std::vector<std::string> parts = one.parts;
    parts.push_back(scratch_file);
    expect_parts(error_of([] { read_slopes(scratch_file); }), parts);
  }
  write_file(scratch_file, good + good);
  expect_parts(error_of([] { read_slopes(scratch_file); }), {scratch_file, "'role' is set twice in ["});
  expect_parts(error_of([] { read_slopes("not_there.ini"); }), {"not_there.ini", "can't be read"});

  Slope unwritable = two_slopes()[0];
  unwritable.description.name = std::string(60, 'n');
  expect_parts(error_of([&] { write_slopes(scratch_file, {unwritable}); }), {"at most 49 characters"});
  unwritable = two_slopes()[0];
  unwritable.source = "one ; comment";
  expect_parts(error_of([&] { write_slopes(scratch_file, {unwritable}); }), {"source"});
  expect_parts(error_of([&] {
                 write_slopes(scratch_file, {two_slopes()[0], two_slopes()[0]});
               }),
               {"duplicate section " + section});
}

nlohmann::json levels_output() {
  nlohmann::json sizes = nlohmann::json::array();
  for (const int agents : {5, 50, 200, 630, 1260})
    sizes.push_back({{"agents", agents},
                     {"bytes_per_s_max", 1000 + 2 * agents},
                     {"bytes_received_per_s_max", 500 + agents}});
  return {{"before", nlohmann::json::array()}, {"after", sizes}};
}

void simulations_give_slopes() {
  const std::vector<Slope> levels = simulated_slopes(levels_output());
  assert(levels.size() == 2 && levels[0].description.name == "agent.levels.bytes_sent.by_agents");
  assert(levels[0].left_out.driver == 630 && close_to(levels[0].at(1000), 3000));
  assert(close_to(levels[1].at(1000), 1500));
  nlohmann::json configuration;
  for (const int agents : {5, 50, 630, 1260})
    configuration["calm_" + std::to_string(agents)] = {{"agents", agents}, {"in_force_ms_max", 900}};
  configuration["trouble"] = {{"agents", 9}};
  const std::vector<Slope> spread = simulated_slopes(configuration);
  assert(spread.size() == 1 && spread[0].left_out.driver == 630 && close_to(spread[0].at(740), 900));

  nlohmann::json lacking = levels_output();
  lacking["after"][2].erase("bytes_per_s_max");
  expect_parts(error_of([&] { simulated_slopes(lacking); }), {"'bytes_per_s_max'"});
  lacking["after"] = nlohmann::json::array();
  expect_parts(error_of([&] { simulated_slopes(lacking); }), {"0 sizes"});
  expect_parts(error_of([&] {
                 simulated_slopes({{"x", 1}});
               }),
               {"expected the output of measure levels", "or of measure configuration"});
  expect_parts(error_of([&] { simulated_slopes(nlohmann::json()); }), {"expected a JSON object"});

  // The command adds the slopes in the last line of the output to the file; adding them twice changes
  // nothing.
  const std::string output = "test_slope_fits.json";
  write_file(output, "looks\n" + levels_output().dump() + "\n");
  write_slopes(scratch_file, two_slopes());
  CapacityCommand command;
  command.slopes = scratch_file;
  command.add = output;
  std::ostringstream out;
  assert(run(command, out) == 0 && run(command, out) == 0);
  assert(read_slopes(scratch_file) == merge_slopes(two_slopes(), levels));
  write_file(output, "looks\n");
  expect_parts(error_of([&] { run(command, out); }), {output, "expected a JSON object"});
  std::filesystem::remove(output);
}

}  // namespace

int main() {
  fits_have_the_shape_of_their_points();
  the_size_left_out_is_predicted();
  a_cost_beyond_the_range_is_not_underestimated();
  unusable_measurements_are_refused();
  a_file_gives_back_what_was_written();
  a_bad_slopes_file_is_refused();
  simulations_give_slopes();
  std::filesystem::remove(scratch_file);
}
