#include "ctl/output.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <utility>

namespace pearchute::ctl {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t column_gap = 2;
constexpr const char* erase_line = "\r\033[K";

std::string cell_text(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "";
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "";
  if (!value.is_number_float()) return value.dump();
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", value.get<double>());
  return text.data();
}

std::string header_of(std::string column) {
  std::ranges::replace(column, '_', ' ');
  return column;
}

std::string line_of(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const std::size_t width = widths[i] + column_gap;
    line += cells[i] + std::string(width - std::min(width, cells[i].size()), ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string table(const Rows& rows, const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> lines(1);
  for (const std::string& column : columns) lines[0].push_back(header_of(column));
  for (const json& row : rows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns)
      cells.push_back(row.contains(column) ? cell_text(row[column]) : "");
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const std::vector<std::string>& cells : lines) {
    for (std::size_t i = 0; i < cells.size(); ++i) widths[i] = std::max(widths[i], cells[i].size());
  }
  std::string text;
  for (const std::vector<std::string>& cells : lines) text += line_of(cells, widths);
  return text;
}

void Output::rows(const Rows& rows, const std::vector<std::string>& columns) const {
  if (json_) std::cout << nlohmann::ordered_json(rows).dump(1) << std::endl;
  else std::cout << table(rows, columns) << std::flush;
}

void Output::line(const std::string& text) const {
  if (!json_) std::cout << text << std::endl;
}

void Output::progress(const std::string& text) {
  if (text == last_progress_) return;
  last_progress_ = text;
  if (::isatty(STDERR_FILENO)) {
    std::cerr << erase_line << text << std::flush;
    has_progress_line_ = true;
  } else {
    std::cerr << text << std::endl;
  }
}

void Output::clear_progress() {
  if (has_progress_line_) std::cerr << erase_line << std::flush;
  has_progress_line_ = false;
}

}  // namespace pearchute::ctl
