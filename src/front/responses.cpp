#include "front/responses.h"

#include <algorithm>
#include <chrono>

#include "net/http.h"

namespace pearchute::net {

std::string retry_after_header(Duration delay) {
  if (delay <= Duration(0)) return "";
  return "Retry-After-Ms: " + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(delay).count()) +
         "\r\n";
}

std::string error_body(std::string_view fault) {
  std::string body = "{\"error\":";
  append_json_string(body, fault);
  return body + "}";
}

std::optional<std::string> rows_as_json(const std::vector<std::string>& pages) {
  std::string body = "{\"values\":[";
  bool is_first_row = true;
  for (const std::string& page : pages) {
    std::string_view rest = page;
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      if (end == std::string_view::npos) return std::nullopt;
      std::string_view row = rest.substr(0, end);
      rest.remove_prefix(end + 1);
      if (std::ranges::count(row, '\t') != 2) return std::nullopt;
      body.append(is_first_row ? "[" : ",[");
      is_first_row = false;
      for (int column = 0; column < 3; ++column) {
        const std::size_t tab = row.find('\t');
        if (column > 0) body.push_back(',');
        append_json_string(body, row.substr(0, tab));
        if (tab != std::string_view::npos) row.remove_prefix(tab + 1);
      }
      body.push_back(']');
    }
  }
  return body + "]}";
}

}  // namespace pearchute::net
