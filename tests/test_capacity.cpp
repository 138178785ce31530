// Tests of the capacity page: the target's file, the model in a small example calculated by hand, and the
// page in the repository against the sections computed from the files in docs/capacity.
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

#include "capacity_test_helpers.h"
#include "lab/capacity/capacity_command.h"
#include "lab/capacity/capacity_model.h"
#include "lab/capacity/capacity_page.h"
#include "lab/capacity/prediction.h"
#include "lab/capacity/slope_set.h"
#include "lab/capacity/slopes_file.h"
#include "lab/capacity/target.h"

using namespace pearchute;
using namespace pearchute::lab::capacity;

namespace {

const std::string scratch_file = "test_capacity.ini";
const std::string target_file = std::string(CAPACITY_FOLDER) + "/target.ini";
const std::string slopes_file = std::string(CAPACITY_FOLDER) + "/slopes.ini";
const std::string page_file = CAPACITY_PAGE;

void the_target_is_read_in_its_units() {
  const Target target = read_target(target_file);
  assert(target.managers == 630 && target.engines == 740 && target.zones == 7 && target.regions == 2);
  assert(target.client_connections == 3.1e6 && target.statements == 1.9e6);
  assert(target.control_processor == 1.3 && target.control_memory == 256 && target.control_bytes == 13);
  assert(target.configuration_changes == 420 && target.configuration_in_force_within == 3);
  assert(target.primary_changes == 2 && target.primary_change_within == 12);
  assert(target.control_machines == 4 && target.machine_restarts == 77 && target.machine_failures == 2);
}

void a_bad_target_is_refused() {
  const std::string good = read_file(target_file);
  struct Case {
    std::string from, to;
    std::vector<std::string> parts;
  };
  const std::vector<Case> cases = {
      {"managers = 630 managers\n", "", {"'managers' is missing in [letter]"}},
      {"zones_of_larger_region = 4 zones\n", "", {"'zones_of_larger_region' is missing in [assumptions]"}},
      {"= 13 KB/s", "= 13 MB/s", {"'control_bytes': expected the unit KB/s, got 'MB/s'"}},
      {"= 13 KB/s", "= 13", {"'control_bytes': expected the unit KB/s, got ''"}},
      {"= 13 KB/s", "= -13 KB/s", {"'control_bytes': expected a value above 0, got '-13 KB/s'"}},
      {"= 630 managers", "= 0 managers", {"'managers': expected a value above 0, got '0 managers'"}},
      {"= 630 managers",
       "= many managers",
       {"'managers': expected a number and its unit, got 'many managers'"}},
      {"= 630 managers",
       "= nan managers",
       {"'managers': expected a number and its unit, got 'nan managers'"}},
      {"managers = 630", "manager = 630", {"unknown key 'manager' in [letter]"}},
      {"[assumptions]", "[guesses]", {"unknown section [guesses]"}},
      {"zones = 7 zones", "zones = 7 zones\nzones = 7 zones", {"'zones' is set twice"}},
      {"zones = 7 zones", "zones = 4 zones", {"'zones_of_larger_region' has to be less than 'zones'"}},
      {"engines_connected = 100 %",
       "engines_connected = 101 %",
       {"'engines_connected' has to be at most 100 %"}},
      {"peak_to_mean = 2", "peak_to_mean = 0.5", {"'peak_to_mean' has to be at least 1"}},
      {"several_managers = 4", "several_managers = 1", {"'several_managers' has to be at least 2"}},
      {"[not_measured]", "[not_measured]\nmanager.x =", {"'manager.x': expected the reason"}}};
  for (const Case& one : cases) {
    write_file(scratch_file, with(good, one.from, one.to));
    std::vector<std::string> parts = one.parts;
    parts.push_back(scratch_file);
    expect_parts(error_of([] { read_target(scratch_file); }), parts);
  }
  expect_parts(error_of([] { read_target("not_there.ini"); }), {"not_there.ini", "can't be read"});
}

// A target small enough to calculate by hand: a manager has 10 connections, 10 statements per second at the
// peak, and 100 engines in its list.
Target small_target() {
  Target target = read_target(target_file);
  target.managers = 70;
  target.engines = 100;
  target.client_connections = 700;
  target.statements = 700;
  target.several_managers = 7;
  target.not_measured.clear();
  return target;
}

Slope line(const std::string& name, const std::string& unit, double a, double b) {
  const auto value = [&](double x) { return a + b * x; };
  return fit_slope({name, "role", "quantity", unit, "driver", "units"},
                   points_of({10, 20, 40, 80, 160}, value), 3, "by hand");
}

// All required slopes. Each is the constant 1, except those on which the example depends.
std::vector<Slope> small_slopes() {
  std::vector<Slope> slopes;
  for (const KnownSlope& known : known_slopes())
    if (known.required) slopes.push_back(line(std::string(known.name), std::string(known.unit), 1, 0));
  return merge_slopes(slopes, {line("manager.statement_cpu.by_engines", "us/statement", 100, 1),
                               line("manager.statement_cpu.by_open", "us/statement", 200, 10),
                               line("manager.control_cpu_at_rest.by_engines", "us/s", 500, 0),
                               line("manager.status_call_cpu.by_engines", "us/call", 20, 0),
                               line("manager.list_event_cpu.by_engines", "us/event", 100, 0),
                               line("manager.handshake_cpu.by_engines", "us", 0, 60),
                               line("agent.cpu.by_agents", "us/s", 0, 3),
                               line("manager.control_bytes_at_rest.by_engines", "bytes/s", 1000, 1),
                               line("manager.list_event_bytes.by_engines", "bytes/event", 50, 2),
                               line("manager.heartbeat_bytes.by_engines_connected", "bytes/s", 0, 10),
                               line("agent.bytes_sent.by_agents", "bytes/s", 0, 5),
                               line("agent.bytes_received.by_agents", "bytes/s", 0, 5),
                               line("agent.bytes_sent.by_instances", "bytes/s", 100, 2),
                               line("manager.memory.by_engines_known", "kB", 8000, 10),
                               line("manager.memory.by_engines_connected", "kB", 9000, 20),
                               line("agent.memory.by_agents", "kB", 0, 100),
                               line("engine.connections.by_managers", "connections", 0, 1)});
}

void conditions_follow_from_the_target() {
  const std::vector<Condition> all = conditions(small_target());
  const auto& ordinary = all[static_cast<std::size_t>(ConditionKind::ordinary_day)];
  const auto& peak = all[static_cast<std::size_t>(ConditionKind::peak)];
  const auto& zone = all[static_cast<std::size_t>(ConditionKind::lost_zone)];
  const auto& cut_off = all[static_cast<std::size_t>(ConditionKind::regions_cut_off)];
  const auto& region = all[static_cast<std::size_t>(ConditionKind::lost_region)];
  const auto& restart = all[static_cast<std::size_t>(ConditionKind::restart)];
  for (std::size_t i = 0; i < all.size(); ++i) assert(static_cast<std::size_t>(all[i].kind) == i);
  assert(close_to(ordinary.statements, 5) && close_to(peak.statements, 10) && close_to(peak.connections, 10));
  assert(close_to(peak.open_statements, 0.6) && close_to(peak.list_events, 81 * 2 / 86'400.0));
  assert(close_to(zone.managers, 60) && close_to(zone.statements, 700 / 60.0));
  assert(close_to(zone.list_events, 81 * 2 / 86'400.0 + 100 / 7.0 / 60));
  assert(close_to(cut_off.managers, 40) && close_to(cut_off.statements, 10));
  assert(close_to(cut_off.engines_connected, 400 / 7.0) && cut_off.engines_known == 100);
  assert(close_to(region.managers, 30) && close_to(region.statements, 700 / 30.0));
  assert(close_to(restart.restarts, 1 / 60.0));
}

void costs_are_as_calculated_by_hand() {
  const Target target = small_target();
  const SlopeSet slopes(small_slopes(), {});
  const Costs costs(slopes, target);
  const std::vector<Condition> all = conditions(target);
  const Condition& peak = all[static_cast<std::size_t>(ConditionKind::peak)];
  const Condition& restart = all[static_cast<std::size_t>(ConditionKind::restart)];
  constexpr Spreading spreading = Spreading::all_with_all;
  // (100 + 100 + 10 * 0.6) us * 10/s
  const Figure data = costs.data_processor(peak);
  assert(close_to(*data.value, 0.00206, 1e-9));
  assert(data.extrapolated);  // 0.6 open statements are below the measured range
  assert(data.slopes.size() == 2);
  // 500 + 5 * 20 + 100 * 81 * 2 / 86,400 + 3 * 70 us/s
  const Figure control = costs.control_processor(peak, 1, spreading);
  assert(close_to(*control.value, 0.08101875, 1e-9) && !control.extrapolated);
  // The same, plus two list events and a handshake of 6,000 us in 60 s.
  const Figure restarted = costs.control_processor(restart, 1, spreading);
  assert(close_to(*restarted.value, 0.08101875 + (100 * 2 / 60.0 + 100) / 1e4, 1e-9));
  // 1,100 + 250 * 81 * 2 / 86,400 + 1,000 + 350 + 350 bytes/s
  assert(
      close_to(*costs.control_bytes(peak, 1, spreading, ByteDirections::both_ways).value, 2.80046875, 1e-9));
  // 350 bytes/s of these are received by the agent.
  assert(close_to(*costs.control_bytes(peak, 1, spreading, ByteDirections::sent).value, 2.45046875, 1e-9));
  // Seven managers share the agent of their machine, one of ten agents: (5 * 10 + 2 * 6) * 2 / 7 bytes/s
  assert(close_to(*costs.control_bytes(peak, 7, spreading, ByteDirections::both_ways).value,
                  2.10046875 + 0.124 / 7, 1e-9));
  // (8,000 + 10 * 100 + 20 * 100 + 100 * 70) kB of 1,024 bytes
  assert(close_to(*costs.control_memory(peak, 1).value, 18.432, 1e-9));
}

const Requirement& requirement_of(const CapacityModel& model, const std::string& start) {
  for (const Requirement& one : model.requirements)
    if (one.bullet.starts_with(start)) return one;
  assert(false);
  return model.requirements.front();
}

void verdicts_follow_from_need_and_limit() {
  Target target = small_target();
  target.control_bytes = 1.4;
  target.control_memory = 18;
  target.manager_processor = 1;
  target.engine_connections = 100;
  const CapacityModel model = compute_model(target, small_slopes());
  const Requirement& bytes = requirement_of(model, "control: bytes both ways, one manager");
  assert(bytes.verdict == Verdict::missed && *bytes.factor > 2.0003);
  const Requirement& engines = requirement_of(model, "managers before engines");
  assert(engines.verdict == Verdict::met_as_measured && close_to(*engines.factor, 0.7));
  assert(requirement_of(model, "statements a second, at the peak").verdict == Verdict::met_as_estimated);
  assert(requirement_of(model, "changes of primary").verdict == Verdict::not_measured);
  const Requirement& configuration = requirement_of(model, "changes of configuration");
  assert(configuration.verdict == Verdict::missed && !configuration.factor);
  // Misses without a mechanism come first, then those with the largest factor.
  assert(model.misses.size() >= 3 && !model.misses.front().factor);
  for (std::size_t i = 1; i < model.misses.size(); ++i)
    assert(!model.misses[i - 1].factor ||
           (model.misses[i].factor && *model.misses[i - 1].factor >= *model.misses[i].factor));
  target.statements = 700'000;
  const CapacityModel overloaded = compute_model(target, small_slopes());
  const char* const at_the_peak = "statements a second, at the peak";
  assert(requirement_of(overloaded, at_the_peak).verdict == Verdict::missed);
  const Requirement& region = requirement_of(overloaded, "statements a second, with the larger region lost");
  assert(region.verdict == Verdict::overload_accepted);
  for (const Requirement& miss : overloaded.misses) assert(miss.bullet != region.bullet);
  assert(model.before_and_after.empty() && model.spreading == Spreading::all_with_all);
}

void slopes_of_levels_and_configuration_are_used() {
  const std::vector<Slope> slopes =
      merge_slopes(small_slopes(), {line("agent.levels.bytes_sent.by_agents", "bytes/s", 30, 1),
                                    line("agent.levels.cpu.by_agents", "us/s", 10, 1),
                                    line("agent.configuration_spread.by_agents", "ms", 10, 4)});
  const CapacityModel model = compute_model(small_target(), slopes);
  assert(model.spreading == Spreading::levels && model.before_and_after.size() == 4);
  const SpreadingComparison& at_target = model.before_and_after[2];
  assert(at_target.agents == 70 && close_to(*at_target.sent_before.value, 350) &&
         close_to(*at_target.sent_after.value, 100));
  assert(model.before_and_after[3].sent_after.extrapolated == false);  // 140 is within 10 to 160
  // 10 + 4 * 70 ms and two round trips of 60 ms
  const Requirement& configuration = requirement_of(model, "changes of configuration");
  assert(close_to(*configuration.need->value, 410) && configuration.verdict == Verdict::met_as_measured);
  // With slopes from a simulation the verdict is only met_as_estimated.
  std::vector<Slope> simulated = slopes;
  for (Slope& slope : simulated) slope.source = "simulated";
  const CapacityModel from_simulation = compute_model(small_target(), simulated);
  assert(requirement_of(from_simulation, "changes of configuration").verdict == Verdict::met_as_estimated);
  // Without a slope for the processor time of levels, that of all_with_all is used.
  const std::vector<Slope> bytes_only =
      merge_slopes(small_slopes(), {line("agent.levels.bytes_sent.by_agents", "bytes/s", 30, 1)});
  const CapacityModel without_processor = compute_model(small_target(), bytes_only);
  const Requirement& processor = requirement_of(without_processor, "control: processor, one manager");
  assert(processor.need->value && processor.need->slopes.contains("agent.cpu.by_agents"));
  // 2,100.46875 bytes/s of the manager, and 100 of the agent in each direction.
  const SlopeSet set(slopes, {});
  const Costs costs(set, model.target);
  const Condition& peak = model.conditions[static_cast<std::size_t>(ConditionKind::peak)];
  assert(close_to(*costs.control_bytes(peak, 1, Spreading::levels, ByteDirections::both_ways).value,
                  2.30046875, 1e-9));
}

void a_scale_run_is_predicted() {
  const Target target = small_target();
  const ScaleSize size = {70, 100, 10, Spreading::all_with_all};
  const ScalePrediction prediction = predict_scale(target, small_slopes(), size);
  // 5 * 10 agents + 2 * 6 further instances
  assert(close_to(*prediction.control_bytes_per_s_mean.value, 62));
  // 500 + 5 * 20 + 3 * 10 / 7 us/s
  assert(close_to(*prediction.control_cpu_share_max.value, (600 + 30 / 7.0) / 1e6, 1e-9));
  // (8,000 + 10 * 100 + 20 * 100 + 100 * 10 / 7) kB of 1,024 bytes
  assert(close_to(*prediction.control_memory_mb_max.value, (11'000 + 1'000 / 7.0) * 1024 / 1e6, 1e-6));
  const ScaleSize by_levels = {70, 100, 70, Spreading::levels};
  expect_parts(error_of([&] { predict_scale(target, small_slopes(), by_levels); }),
               {"[agent.levels.bytes_sent.by_agents] is missing", "measure slopes"});
}

void slopes_that_do_not_suffice_are_refused() {
  const Target target = small_target();
  std::vector<Slope> slopes = small_slopes();
  const std::string name = slopes[1].description.name;
  slopes[1].description.unit = "percent";
  expect_parts(error_of([&] { compute_model(target, slopes); }),
               {"[" + name + "]", "has the unit 'percent'; expected 'cores'", "measure slopes"});
  slopes.erase(slopes.begin() + 1);
  expect_parts(error_of([&] { compute_model(target, slopes); }),
               {"[" + name + "] is missing", "measure slopes"});

  // A slope that is listed with a reason is left out, and the figures that depend on it are "not measured".
  Target without = target;
  without.not_measured[name] = "the machine has too few cores";
  const CapacityModel model = compute_model(without, slopes);
  bool is_marked = false;
  for (const PageSection& section : page_sections(without, slopes))
    is_marked |= section.text.find("not measured") != std::string::npos;
  assert(is_marked && !model.rows.empty());
  expect_parts(error_of([&] { compute_model(without, small_slopes()); }),
               {"[" + name + "]", "listed as not measured"});
  without.not_measured = {{"manager.x", "never"}};
  expect_parts(error_of([&] { compute_model(without, small_slopes()); }), {"[manager.x]"});
}

void numbers_are_short() {
  assert(number_text(0.07123) == "0.0712" && number_text(1.3) == "1.3" && number_text(0) == "0");
  assert(number_text(99.96) == "100" && number_text(4920.63) == "4,921" && number_text(3.1e6) == "3,100,000");
  assert(number_text(123) == "123" && number_text(1234567) == "1,234,567");
}

// A page with all markers, in order.
std::string empty_page(const std::vector<PageSection>& sections) {
  std::string page = "# Page\n";
  for (const PageSection& section : sections)
    page += "\n<!-- capacity:" + section.name + " -->\nold\n<!-- capacity:end -->\n";
  return page;
}

// Changes the last digit of each line of the sections in turn; check_page() has to report each change.
void each_changed_figure_is_found(const std::string& page, const std::vector<PageSection>& sections) {
  check_page(page, sections);
  int changed = 0;
  bool is_inside = false;
  std::size_t start = 0;
  while (start < page.size()) {
    const std::size_t end = page.find('\n', start);
    const std::string line = page.substr(start, end - start);
    if (line.starts_with("<!-- capacity:")) {
      is_inside = line != "<!-- capacity:end -->";
    } else if (is_inside) {
      const std::size_t digit = line.find_last_of("0123456789");
      if (digit != std::string::npos) {
        std::string copy = page;
        char& one = copy[start + digit];
        one = one == '9' ? '8' : static_cast<char>(one + 1);
        expect_parts(error_of([&] { check_page(copy, sections); }), {"; expected '", "--write"});
        ++changed;
      }
    }
    start = end + 1;
  }
  assert(changed > 20);
}

void a_page_is_written_and_checked() {
  const std::vector<PageSection> sections = page_sections(small_target(), small_slopes());
  for (const PageSection& section : sections)
    assert(!section.text.empty() || section.name == "before-and-after");
  const std::string empty = empty_page(sections);
  expect_parts(error_of([&] { check_page(empty, sections); }), {"the page", "old", "--write"});
  const std::string page = rewrite_page(empty, sections);
  assert(rewrite_page(page, sections) == page);
  each_changed_figure_is_found(page, sections);

  const std::string marker = "<!-- capacity:agent -->\n";
  expect_parts(error_of([&] { check_page(with(page, marker, ""), sections); }),
               {"found <!-- capacity:end --> outside a section"});
  expect_parts(error_of([&] { check_page(with(page, marker, marker + marker), sections); }),
               {"duplicate section marker 'capacity:agent'"});
  expect_parts(error_of([&] { check_page(with(page, "capacity:agent ", "capacity:agents "), sections); }),
               {"unknown section marker 'capacity:agents'"});
  expect_parts(error_of([&] { check_page(page + "<!-- capacity:end -->\n", sections); }),
               {"found <!-- capacity:end --> outside a section"});
  expect_parts(error_of([&] { check_page("# Page\n", sections); }),
               {"missing section marker 'capacity:target'"});
}

// The page in the repository agrees with the files in docs/capacity.
void the_page_is_that_of_its_slopes() {
  const Target target = read_target(target_file);
  const std::vector<Slope> slopes = read_slopes(slopes_file);
  const std::vector<PageSection> sections = page_sections(target, slopes);
  const std::string page = read_file(page_file);
  const std::string error = error_of([&] { check_page(page, sections); });
  if (!error.empty()) std::fprintf(stderr, "%s\n", error.c_str());
  assert(error.empty());
  each_changed_figure_is_found(page, sections);
  // A page for other slopes differs.
  const std::vector<Slope> others = slopes.empty() ? small_slopes() : std::vector<Slope>();
  Target complete = target;
  complete.not_measured.clear();
  expect_parts(error_of([&] { check_page(page, page_sections(complete, others)); }), {"the page", "--write"});
}

void the_command_names_what_is_wrong() {
  CapacityCommand command;
  command.slopes = slopes_file;
  command.target = target_file;
  std::ostringstream out;
  assert(run(command, out) == 0);
  expect_parts(out.str(), {"## target", "## manager"});
  command.page = page_file;
  command.check = true;
  assert(run(command, out) == 0);
  write_file(scratch_file, with(read_file(page_file), "| 630 |", "| 631 |"));
  command.page = scratch_file;
  expect_parts(error_of([&] { run(command, out); }), {scratch_file, "; expected '", "--write"});
  command.check = false;
  command.write = true;
  assert(run(command, out) == 0 && read_file(scratch_file) == read_file(page_file));
  command.slopes = "not_there.ini";
  expect_parts(error_of([&] { run(command, out); }), {"not_there.ini"});
  try {
    command.check = true;
    run(command, out);
    assert(false);
  } catch (const UsageError&) {
  }
}

}  // namespace

int main() {
  the_target_is_read_in_its_units();
  a_bad_target_is_refused();
  conditions_follow_from_the_target();
  costs_are_as_calculated_by_hand();
  verdicts_follow_from_need_and_limit();
  slopes_of_levels_and_configuration_are_used();
  a_scale_run_is_predicted();
  slopes_that_do_not_suffice_are_refused();
  numbers_are_short();
  a_page_is_written_and_checked();
  the_page_is_that_of_its_slopes();
  the_command_names_what_is_wrong();
  std::filesystem::remove(scratch_file);
}
