// Prints rows as a table with chosen columns, or as JSON with all members. Progress is written to standard
// error: in place on a terminal, and as plain lines elsewhere.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pearchute::ctl {

// JSON objects, whose members are printed in the order in which they were set.
using Rows = std::vector<nlohmann::ordered_json>;

// The output of a command. Not thread-safe.
class Output {
 public:
  explicit Output(bool json) : json_(json) {}
  bool json() const { return json_; }
  // Prints the rows. Columns name members of the rows; a cell is blank where its row has no such member. JSON
  // has all members.
  void rows(const Rows& rows, const std::vector<std::string>& columns) const;
  void line(const std::string& text) const;  // omitted from JSON output
  // Shows the progress in place of the previous one. An unchanged text is not printed again.
  void progress(const std::string& text);
  // Clears the progress from the terminal.
  void clear_progress();

 private:
  const bool json_;
  bool has_progress_line_ = false;
  std::string last_progress_;
};

// Formats the rows as a table with these columns, each as wide as its widest cell.
std::string table(const Rows& rows, const std::vector<std::string>& columns);

}  // namespace pearchute::ctl
