#include "ctl/output.h"

#include <unistd.h>

#include <algorithm>
#include <iostream>

namespace pearchute::ctl {

namespace {

std::string text_of(const nlohmann::ordered_json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "";
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "";
  if (value.is_number_float()) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value.get<double>());
    return text;
  }
  return value.dump();
}

}  // namespace

std::string table(const Rows& rows, const std::vector<std::string>& columns) {
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    std::size_t width = column.size();
    for (const auto& row : rows) {
      if (row.contains(column)) width = std::max(width, text_of(row[column]).size());
    }
    widths.push_back(width);
  }
  std::string text;
  const auto put = [&](const auto& cell) {
    std::string line;
    for (std::size_t i = 0; i < columns.size(); ++i) {
      const std::string what = cell(columns[i]);
      line += what + std::string(widths[i] + 2 - std::min(widths[i] + 2, what.size()), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  };
  put([](const std::string& column) {
    std::string head = column;
    std::ranges::replace(head, '_', ' ');
    return head;
  });
  for (const auto& row : rows)
    put([&](const std::string& column) {
      return row.contains(column) ? text_of(row[column]) : std::string();
    });
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
  if (text == last_) return;
  last_ = text;
  if (::isatty(STDERR_FILENO)) {
    std::cerr << "\r\033[K" << text << std::flush;
    in_place_ = true;
  } else {
    std::cerr << text << std::endl;
  }
}

void Output::progress_over() {
  if (in_place_) std::cerr << "\r\033[K" << std::flush;
  in_place_ = false;
}

}  // namespace pearchute::ctl
