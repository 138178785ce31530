// Operators on call look up log lines by their text: the on-call page has to contain the longest fixed part
// of each log line that the manager or the agent writes.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace {

std::string text_of(const std::filesystem::path& file) {
  std::ifstream in(file);
  EXPECT_TRUE(in) << file << " can't be read";
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string with_single_spaces(const std::string& text) {
  std::istringstream in(text);
  std::string joined, word;
  while (in >> word) joined += joined.empty() ? word : " " + word;
  return joined;
}

// The string literal whose first quote is at `at`, joined with the literals that follow it directly.
std::string literal_at(const std::string& text, std::size_t at) {
  std::string literal;
  while (at < text.size() && text[at] == '"') {
    for (++at; at < text.size() && text[at] != '"'; ++at) {
      if (text[at] == '\\') ++at;
      literal += text[at];
    }
    at = text.find_first_not_of(" \n", at + 1);
  }
  return literal;
}

// The format strings of the log calls in a source file: the first literal of each call. request_log.cpp
// writes its lines with a function `write` of its own.
std::vector<std::string> log_forms_in(const std::filesystem::path& file) {
  std::vector<std::string_view> calls = {"PEARCHUTE_LOG(", "spdlog::info(", "spdlog::warn(",
                                         "spdlog::error("};
  if (file.stem() == "request_log") calls.push_back("write(");
  const std::string text = text_of(file);
  std::vector<std::string> forms;
  for (const std::string_view call : calls) {
    for (std::size_t at = text.find(call); at != std::string::npos; at = text.find(call, at + 1)) {
      const std::size_t quote = text.find('"', at), end = text.find(';', at);
      if (quote < end) forms.push_back(literal_at(text, quote));
    }
  }
  return forms;
}

// The longest part of a format string between its placeholders, without the punctuation around it.
std::string longest_fixed_part(const std::string& form) {
  constexpr std::string_view around = " :;,()";
  std::string longest;
  for (std::size_t start = 0; start <= form.size();) {
    const std::size_t open = std::min(form.find('{', start), form.size());
    std::string part = form.substr(start, open - start);
    part.erase(0, std::min(part.find_first_not_of(around), part.size()));
    part.erase(part.find_last_not_of(around) + 1);
    if (part.size() > longest.size()) longest = part;
    const std::size_t close = form.find('}', open);
    if (close == std::string::npos) break;
    start = close + 1;
  }
  return longest;
}

// The laboratory doesn't run in production, and the command line writes no log.
bool writes_no_log_in_service(const std::filesystem::path& file) {
  const std::string path = file.string();
  return path.find("/src/lab/") != std::string::npos || path.find("/src/ctl/") != std::string::npos;
}

}  // namespace

TEST(LogLines, StandOnTheOnCallPage) {
  const std::string page = with_single_spaces(text_of(ON_CALL));
  // A line whose fixed parts are shorter has no text of its own: it passes on another message.
  constexpr std::size_t min_part_length = 4;
  std::size_t lines_seen = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER)) {
    const std::filesystem::path& file = entry.path();
    if ((file.extension() != ".h" && file.extension() != ".cpp") || writes_no_log_in_service(file)) continue;
    for (const std::string& form : log_forms_in(file)) {
      const std::string part = longest_fixed_part(form);
      if (part.size() < min_part_length) continue;
      ++lines_seen;
      EXPECT_NE(page.find(part), std::string::npos) << file.filename() << ": \"" << form << "\"";
    }
  }
  constexpr std::size_t min_lines = 50;  // fewer mean that the search misses log calls
  EXPECT_GE(lines_seen, min_lines);
}
