#include "lab/capacity/capacity_page.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <set>
#include <sstream>

#include "errors/error.h"

namespace pearchute::lab::capacity {

namespace {

constexpr std::string_view marker_start = "<!-- capacity:";
constexpr std::string_view marker_end = " -->";
constexpr std::string_view closing_marker = "<!-- capacity:end -->";
constexpr const char* rewrite_remedy = "rewrite it with pearchute-lab capacity --page FILE --write";
constexpr double percent = 100;
constexpr double whole_numbers_from = 100;

class Table {
 public:
  explicit Table(const std::vector<std::string>& header) {
    add(header);
    text_ += "|";
    for (std::size_t i = 0; i < header.size(); ++i) text_ += " --- |";
    text_ += "\n";
  }
  void add(const std::vector<std::string>& cells) {
    text_ += "|";
    for (const std::string& cell : cells) text_ += cell.empty() ? " |" : " " + cell + " |";
    text_ += "\n";
  }
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
};

std::string percent_text(double share) { return number_text(share * percent) + "%"; }

std::string figure_text(const Figure& figure) {
  if (!figure.value) return "not measured";
  return number_text(*figure.value) + (figure.extrapolated ? "†" : "") + (figure.simulated ? "‡" : "");
}

std::string cell_text(const Figure& figure, const std::optional<double>& limit) {
  std::string text = figure_text(figure);
  if (figure.value && limit) text += " (" + percent_text(*figure.value / *limit) + ")";
  return text;
}

std::set<std::string> slopes_of(const std::vector<Figure>& cells) {
  std::set<std::string> slopes;
  for (const Figure& cell : cells) slopes.insert(cell.slopes.begin(), cell.slopes.end());
  return slopes;
}

std::string joined(const std::set<std::string>& slopes) {
  if (slopes.empty()) return "the target";
  std::string text;
  for (const std::string& slope : slopes) text += (text.empty() ? "" : ", ") + slope;
  return text;
}

std::string worst_error(const std::vector<Figure>& cells) {
  if (slopes_of(cells).empty()) return "";
  double error = 0;
  for (const Figure& cell : cells) {
    if (!cell.value) return "";
    error = std::max(error, cell.error);
  }
  return percent_text(error);
}

std::vector<std::string> titles(const std::vector<Condition>& conditions) {
  std::vector<std::string> all;
  for (const Condition& condition : conditions) all.push_back(condition.title);
  return all;
}

std::string target_table(std::string_view section, const Target& target, const std::string& meaning) {
  Table table({"value", "figure", "unit", meaning});
  for (const TargetField& field : target_fields())
    if (field.section == section)
      table.add({std::string(field.key), number_text(target.*field.value), std::string(field.unit),
                 std::string(field.meaning)});
  return table.take();
}

std::string conditions_table(const std::vector<Condition>& conditions) {
  Table table({"condition", "managers that reach each other", "connections of a manager",
               "its statements a second", "open statements", "engines connected", "list events a second"});
  for (const Condition& one : conditions)
    table.add({one.title, number_text(one.managers), number_text(one.connections),
               number_text(one.statements), number_text(one.open_statements),
               number_text(one.engines_connected), number_text(one.list_events)});
  return table.take();
}

std::string formula(const Slope& slope) {
  const std::string a = number_text(slope.a);
  const std::string b = number_text(slope.b);
  switch (slope.shape) {
    case Shape::constant:
      return a;
    case Shape::linear:
      return a + " + " + b + " x";
    case Shape::quadratic:
      return a + " + " + b + " x + " + number_text(slope.c) + " x²";
    case Shape::power:
      return a + " x^" + b;
  }
  return "";
}

std::string slopes_table(const CapacityModel& model) {
  Table table({"slope", "driver x", "fit", "unit", "measured over", "left out", "measured there", "predicted",
               "error"});
  for (const Slope& slope : model.slopes) {
    const SlopeDescription& description = slope.description;
    table.add({description.name, description.driver, formula(slope), description.unit,
               number_text(slope.min_driver()) + " to " + number_text(slope.max_driver()),
               number_text(slope.left_out.driver), number_text(slope.left_out.value),
               number_text(slope.predicted), percent_text(slope.error)});
  }
  std::string text = table.take();
  if (model.target.not_measured.empty()) return text;
  text += "\nNot measured:\n\n";
  for (const auto& [name, reason] : model.target.not_measured) text += "- " + name + ": " + reason + "\n";
  return text;
}

std::string role_table(const CapacityModel& model, Role role) {
  std::vector<std::string> header = {"", "what"};
  for (const std::string& title : titles(model.conditions)) header.push_back(title);
  header.insert(header.end(), {"worst error", "from", "carried by"});
  Table table(header);
  for (const Row& row : model.rows) {
    if (row.role != role) continue;
    std::vector<std::string> cells = {row.kind, row.quantity};
    for (std::size_t i = 0; i < model.conditions.size(); ++i)
      cells.push_back(row.cells.empty() ? "" : cell_text(row.cells[i], row.limit));
    cells.push_back(worst_error(row.cells));
    cells.push_back(row.cells.empty() ? "" : joined(slopes_of(row.cells)));
    cells.push_back(row.mechanism == nothing_carries_this ? "`" + row.mechanism + "`" : row.mechanism);
    table.add(cells);
  }
  return table.take();
}

std::string machines_table(const CapacityModel& model) {
  std::vector<std::string> header = {"managers on a machine", "machines and agents", "what"};
  for (const std::string& title : titles(model.conditions)) header.push_back(title);
  Table table(header);
  for (const Placement& placement : model.placements) {
    for (const Placement::Line& line : placement.lines) {
      std::vector<std::string> cells = {number_text(placement.managers_on_machine),
                                        number_text(placement.machines), line.quantity};
      for (const Figure& cell : line.cells) cells.push_back(cell_text(cell, line.limit));
      table.add(cells);
    }
  }
  return table.take();
}

std::string verdict_text(const Requirement& one) {
  switch (one.verdict) {
    case Verdict::met_as_measured:
      return "carried and shown: " + percent_text(*one.factor) + " of the limit";
    case Verdict::met_as_estimated:
      return "carried on paper: " + percent_text(*one.factor) + " of the limit";
    case Verdict::missed:
      if (!one.factor) return std::string("missed: `") + nothing_carries_this + "`";
      return "**missed by a factor of " + number_text(*one.factor) + "**";
    case Verdict::overload_accepted:
      return number_text(*one.factor) +
             " times the limit: has to be graceful: measure overload, docs/measurements.md";
    case Verdict::not_measured:
      return "not measured";
  }
  return "";
}

std::string need_text(const Requirement& one) {
  if (!one.need) return "";
  return figure_text(*one.need) + " of " + number_text(one.limit) + " " + one.unit;
}

std::string requirements_table(const std::vector<Requirement>& requirements) {
  Table table({"bullet of the target", "by", "need of limit", "verdict"});
  for (const Requirement& one : requirements)
    table.add({one.bullet, one.basis, need_text(one), verdict_text(one)});
  return table.take();
}

std::string misses_table(const std::vector<Requirement>& misses) {
  if (misses.empty()) return "Nothing is missed.\n";
  Table table({"", "what is missed", "factor", "what it costs users"});
  int rank = 0;
  for (const Requirement& one : misses)
    table.add({std::to_string(++rank), one.bullet,
               one.factor ? number_text(*one.factor) : std::string("`") + nothing_carries_this + "`",
               one.cost});
  return table.take();
}

std::string before_and_after_table(const std::vector<SpreadingComparison>& comparisons) {
  if (comparisons.empty()) return "";
  Table table({"agents", "sent by an agent, all with all, bytes/s", "with levels",
               "processor, all with all, us/s", "with levels", "configuration in force, ms"});
  for (const SpreadingComparison& one : comparisons)
    table.add({number_text(one.agents), figure_text(one.sent_before), figure_text(one.sent_after),
               figure_text(one.processor_before), figure_text(one.processor_after),
               figure_text(one.configuration)});
  return table.take();
}

// Returns the name of the section that begins with this line; empty if none does.
std::string opened_section(std::string_view line) {
  if (!line.starts_with(marker_start) || !line.ends_with(marker_end) || line == closing_marker) return "";
  line.remove_prefix(marker_start.size());
  line.remove_suffix(marker_end.size());
  return std::string(line);
}

std::string first_difference(const std::string& found, const std::string& expected) {
  std::istringstream found_lines(found);
  std::istringstream expected_lines(expected);
  std::string found_line, expected_line;
  while (true) {
    const bool more_found = static_cast<bool>(std::getline(found_lines, found_line));
    const bool more_expected = static_cast<bool>(std::getline(expected_lines, expected_line));
    if (!more_found && !more_expected) return "";
    if (!more_found) return "lacks the line '" + expected_line + "'";
    if (!more_expected) return "has the extra line '" + found_line + "'";
    if (found_line != expected_line)
      return "has the line '" + found_line + "'; expected '" + expected_line + "'";
  }
}

}  // namespace

std::string number_text(double value) {
  std::array<char, 64> text{};
  if (std::abs(value) < whole_numbers_from) {
    std::snprintf(text.data(), text.size(), "%.3g", value);
    return text.data();
  }
  std::snprintf(text.data(), text.size(), "%.0f", value);
  std::string digits = text.data();
  const std::size_t first = digits.front() == '-' ? 1 : 0;
  for (std::size_t at = digits.size(); at > first + 3;) digits.insert(at -= 3, ",");
  return digits;
}

std::vector<PageSection> page_sections(const Target& target, const std::vector<Slope>& slopes) {
  std::vector<PageSection> sections = {
      {"target", target_table("letter", target, "")},
      {"assumptions", target_table("assumptions", target, "what hangs on it")},
      {"conditions", conditions_table(conditions(target))}};
  const std::vector<std::pair<std::string, Role>> roles = {{"manager", Role::manager},
                                                           {"agent", Role::agent},
                                                           {"engine", Role::engine},
                                                           {"list-channel", Role::list_channel},
                                                           {"control-machines", Role::control_machine},
                                                           {"operators", Role::operators}};
  if (slopes.empty()) {
    for (const char* name : {"requirements", "misses", "machines"}) sections.push_back({name, ""});
    for (const auto& [name, role] : roles) sections.push_back({name, ""});
    for (const char* name : {"before-and-after", "slopes"}) sections.push_back({name, ""});
    return sections;
  }
  const CapacityModel model = compute_model(target, slopes);
  sections.push_back({"requirements", requirements_table(model.requirements)});
  sections.push_back({"misses", misses_table(model.misses)});
  sections.push_back({"machines", machines_table(model)});
  for (const auto& [name, role] : roles) sections.push_back({name, role_table(model, role)});
  sections.push_back({"before-and-after", before_and_after_table(model.before_and_after)});
  sections.push_back({"slopes", slopes_table(model)});
  return sections;
}

std::string rewrite_page(const std::string& page, const std::vector<PageSection>& sections) {
  std::set<std::string> seen;
  std::string rewritten, line;
  bool is_inside = false;
  std::istringstream lines(page);
  while (std::getline(lines, line)) {
    if (line == closing_marker) {
      if (!is_inside) throw SettingsError("found " + std::string(closing_marker) + " outside a section");
      is_inside = false;
    }
    const std::string opened = opened_section(line);
    if (!opened.empty()) {
      const auto section = std::find_if(sections.begin(), sections.end(),
                                        [&](const PageSection& one) { return one.name == opened; });
      if (section == sections.end()) throw SettingsError("unknown section marker 'capacity:" + opened + "'");
      if (!seen.insert(opened).second)
        throw SettingsError("duplicate section marker 'capacity:" + opened + "'");
      if (is_inside)
        throw SettingsError("the section before 'capacity:" + opened + "' has no " +
                            std::string(closing_marker));
      is_inside = true;
      rewritten += line + "\n";
      if (!section->text.empty()) rewritten += "\n" + section->text + "\n";
      continue;
    }
    if (!is_inside || line == closing_marker) rewritten += line + "\n";
  }
  if (is_inside) throw SettingsError("the last section has no " + std::string(closing_marker));
  for (const PageSection& section : sections)
    if (!seen.contains(section.name))
      throw SettingsError("missing section marker 'capacity:" + section.name + "'");
  return rewritten;
}

void check_page(const std::string& page, const std::vector<PageSection>& sections) {
  const std::string expected = rewrite_page(page, sections);
  if (page != expected)
    throw SettingsError("the page " + first_difference(page, expected), "", rewrite_remedy);
}

}  // namespace pearchute::lab::capacity
