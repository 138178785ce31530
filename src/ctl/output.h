// Rows for people or for programs: a table of some columns, or JSON with all that is known. Progress goes to
// standard error, in place on a terminal and as plain lines elsewhere.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pearchute::ctl {

// Members are printed in the order in which they were set.
using Rows = std::vector<nlohmann::ordered_json>;

// Where a command prints. Not thread-safe.
class Output {
 public:
  explicit Output(bool json) : json_(json) {}
  bool json() const { return json_; }
  // Columns are members of the rows; what a row lacks stays blank. JSON has all members.
  void rows(const Rows& rows, const std::vector<std::string>& columns) const;
  void line(const std::string& text) const;  // for people only
  // Replaces the progress that stands there; a text that has not changed is not printed again.
  void progress(const std::string& text);
  // Removes the progress that stands on the terminal.
  void progress_over();

 private:
  const bool json_;
  bool in_place_ = false;
  std::string last_progress_;
};

// Rows as a table of some columns, each as wide as its widest cell.
std::string table(const Rows& rows, const std::vector<std::string>& columns);

}  // namespace pearchute::ctl
