// Rows for people or for programs: a table of some columns, or JSON with all that is known. Progress goes to
// standard error, in place on a terminal and as plain lines elsewhere.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pearchute::ctl {

using Rows = std::vector<nlohmann::ordered_json>;

class Output {
 public:
  explicit Output(bool json) : json_(json) {}
  bool json() const { return json_; }
  // Columns are members of the rows; what a row lacks stays blank.
  void rows(const Rows& rows, const std::vector<std::string>& columns) const;
  void line(const std::string& text) const;  // for people only
  void progress(const std::string& text);
  void progress_over();

 private:
  const bool json_;
  bool in_place_ = false;
  std::string last_;  // what was told; told again only where it has changed
};

std::string table(const Rows& rows, const std::vector<std::string>& columns);

}  // namespace pearchute::ctl
