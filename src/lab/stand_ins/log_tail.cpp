#include "lab/stand_ins/log_tail.h"

#include <deque>
#include <fstream>

namespace pearchute::lab {

std::vector<std::string> last_lines(const std::string& file, std::size_t max_lines,
                                    std::string_view without) {
  std::ifstream log(file);
  std::deque<std::string> lines;
  for (std::string line; std::getline(log, line);) {
    if (!without.empty() && line.find(without) != std::string::npos) continue;
    lines.push_back(line);
    if (lines.size() > max_lines) lines.pop_front();
  }
  return {lines.begin(), lines.end()};
}

}  // namespace pearchute::lab
