#include "lab/capacity/slopes_file.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <ostream>
#include <set>
#include <string_view>
#include <system_error>

#include "ini/reader.h"

namespace pearchute::lab::capacity {

namespace {

constexpr std::size_t max_section_length = 49;  // of inih, which silently cuts off longer names
constexpr std::size_t max_text_length = 150;    // leaves room for a key in a line of at most 199 characters
constexpr std::string_view point_key = "point_";
constexpr std::string_view source_key = "source";  // continued in source_2 and so on

double number(std::string_view name, std::string_view text) {
  double value = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || stop != text.data() + text.size() || !std::isfinite(value))
    throw SlopeError("'" + std::string(name) + "': expected a number, got '" + std::string(text) + "'", "",
                     std::string(measure_again));
  return value;
}

std::string shortest(double value) {
  std::array<char, 64> text{};
  const auto [stop, error] = std::to_chars(text.data(), text.data() + text.size(), value);
  return std::string(text.data(), error == std::errc{} ? stop : text.data());
}

SlopePoint point(std::string_view name, std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos)
    throw SlopeError("'" + std::string(name) + "': expected driver:value, got '" + std::string(text) + "'",
                     "", std::string(measure_again));
  return {number(name, text.substr(0, colon)), number(name, text.substr(colon + 1))};
}

// A section while it is read.
struct Section {
  Slope slope;
  std::set<std::string> keys;  // read so far
  std::size_t source_lines = 0;
};

std::string source_key_of(std::size_t line) {
  return line == 1 ? std::string(source_key) : std::string(source_key) + "_" + std::to_string(line);
}

void read_key(Section& section, const std::string& name, const std::string& text) {
  Slope& slope = section.slope;
  SlopeDescription& description = slope.description;
  const std::map<std::string_view, std::string*> texts = {{"role", &description.role},
                                                          {"quantity", &description.quantity},
                                                          {"unit", &description.unit},
                                                          {"driver", &description.driver},
                                                          {"driver_unit", &description.driver_unit}};
  const std::map<std::string_view, double*> numbers = {{"a", &slope.a},
                                                       {"b", &slope.b},
                                                       {"c", &slope.c},
                                                       {"left_out", &slope.left_out.driver},
                                                       {"left_out_measured", &slope.left_out.value},
                                                       {"left_out_predicted", &slope.predicted},
                                                       {"left_out_error", &slope.error}};
  if (const auto found = texts.find(name); found != texts.end()) {
    *found->second = text;
  } else if (const auto other = numbers.find(name); other != numbers.end()) {
    *other->second = number(name, text);
  } else if (name == "shape") {
    slope.shape = shape_by_name(text);
  } else if (name == std::string(point_key) + std::to_string(slope.points.size() + 1)) {
    slope.points.push_back(point(name, text));
  } else if (name == source_key_of(section.source_lines + 1)) {
    if (section.source_lines > 0) slope.source += " ";
    slope.source += text;
    ++section.source_lines;
  } else {
    throw SlopeError("unknown key '" + name + "' in [" + description.name + "], or a key out of order");
  }
  section.keys.insert(name);
}

void check_complete(const Section& section) {
  for (const char* key : {"role", "quantity", "unit", "driver", "driver_unit", "shape", "a", "b", "c",
                          "left_out", "left_out_measured", "left_out_predicted", "left_out_error", "source"})
    if (!section.keys.contains(key))
      throw SlopeError("[" + section.slope.description.name + "] '" + key + "' is missing", "",
                       std::string(measure_again));
  check_slope(section.slope);
}

// Whether the INI library reads the text back unchanged: the text is one line, has no blanks at its ends, no
// two blanks in a row, and nothing that the library takes for a comment.
bool is_plain(const std::string& text) {
  if (text.empty() || text.front() == ' ' || text.back() == ' ') return false;
  if (text.find('\n') != std::string::npos || text.find('\t') != std::string::npos) return false;
  return text.find("  ") == std::string::npos && text.find(" ;") == std::string::npos;
}

void check_writable(const Slope& slope) {
  check_slope(slope);
  const SlopeDescription& description = slope.description;
  if (description.name.size() > max_section_length || description.name.find(']') != std::string::npos)
    throw SlopeError("[" + description.name + "]: expected a section name of at most " +
                     std::to_string(max_section_length) + " characters, without ']'");
  for (const std::string* text : {&description.name, &description.role, &description.quantity,
                                  &description.unit, &description.driver, &description.driver_unit})
    if (!is_plain(*text) || text->size() > max_text_length)
      throw SlopeError("[" + description.name + "] has a text that can't be written to an INI file: '" +
                       *text + "'");
  if (!is_plain(slope.source))
    throw SlopeError("[" + description.name + "] has a source that can't be written to an INI file: '" +
                     slope.source + "'");
}

// Splits the source at blanks, so that no line is longer than the library can read.
void write_source(std::ostream& out, std::string_view source) {
  for (std::size_t line = 1; !source.empty(); ++line) {
    std::size_t end = source.size();
    if (end > max_text_length) end = source.rfind(' ', max_text_length);
    if (end == std::string_view::npos)
      throw SlopeError("'source' has a word longer than " + std::to_string(max_text_length) + " characters");
    out << source_key_of(line) << " = " << source.substr(0, end) << "\n";
    source.remove_prefix(std::min(end + 1, source.size()));
  }
}

void write_slope(std::ostream& out, const Slope& slope) {
  const SlopeDescription& description = slope.description;
  out << "\n[" << description.name << "]\n";
  out << "role = " << description.role << "\n";
  out << "quantity = " << description.quantity << "\n";
  out << "unit = " << description.unit << "\n";
  out << "driver = " << description.driver << "\n";
  out << "driver_unit = " << description.driver_unit << "\n";
  out << "shape = " << shape_name(slope.shape) << "\n";
  out << "a = " << shortest(slope.a) << "\n";
  out << "b = " << shortest(slope.b) << "\n";
  out << "c = " << shortest(slope.c) << "\n";
  for (std::size_t i = 0; i < slope.points.size(); ++i)
    out << point_key << i + 1 << " = " << shortest(slope.points[i].driver) << ":"
        << shortest(slope.points[i].value) << "\n";
  out << "left_out = " << shortest(slope.left_out.driver) << "\n";
  out << "left_out_measured = " << shortest(slope.left_out.value) << "\n";
  out << "left_out_predicted = " << shortest(slope.predicted) << "\n";
  out << "left_out_error = " << shortest(slope.error) << "\n";
  write_source(out, slope.source);
}

}  // namespace

std::vector<Slope> read_slopes(const std::string& path) {
  std::vector<Section> sections;
  std::set<std::string> names;
  ini::read(path, [&](const std::string& section, const std::string& name, const std::string& text) {
    if (section.empty())
      throw SlopeError("'" + name + "' is not in a section; expected [NAME_OF_A_SLOPE] before it");
    if (sections.empty() || sections.back().slope.description.name != section) {
      if (!names.insert(section).second) throw SlopeError("duplicate section [" + section + "]");
      sections.emplace_back();
      sections.back().slope.description.name = section;
    }
    read_key(sections.back(), name, text);
  });
  std::vector<Slope> slopes;
  for (const Section& section : sections) {
    try {
      check_complete(section);
    } catch (const SlopeError& error) {
      throw SlopeError::within(path, error);
    }
    slopes.push_back(section.slope);
  }
  return slopes;
}

void write_slopes(const std::string& path, const std::vector<Slope>& slopes) {
  std::set<std::string> names;
  for (const Slope& slope : slopes) {
    check_writable(slope);
    if (!names.insert(slope.description.name).second)
      throw SlopeError("duplicate section [" + slope.description.name + "]");
  }
  const std::string temporary = path + ".new";
  std::ofstream out(temporary, std::ios::trunc);
  out << "# Slopes as measured. Written by pearchute-lab measure slopes; not edited by hand.\n";
  for (const Slope& slope : slopes) write_slope(out, slope);
  out.close();
  std::error_code error;
  if (out) std::filesystem::rename(temporary, path, error);
  if (!out || error) throw SystemError("can't be written", path);
}

std::vector<Slope> merge_slopes(std::vector<Slope> existing, const std::vector<Slope>& measured) {
  for (const Slope& slope : measured) {
    const auto found = std::find_if(existing.begin(), existing.end(), [&](const Slope& one) {
      return one.description.name == slope.description.name;
    });
    if (found == existing.end()) existing.push_back(slope);
    else *found = slope;
  }
  return existing;
}

}  // namespace pearchute::lab::capacity
