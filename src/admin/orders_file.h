// The open orders of a manager on disk, so that a restart forgets none. The file is replaced whole, so a kill
// at any write leaves the orders of before or of after; what is damaged is said, and never guessed at.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "fleet/drains.h"

namespace pearchute::admin {

class OrdersFile {
 public:
  // `passes` hears the name of each point at which a kill is to be thought of; for tests.
  explicit OrdersFile(std::string path, std::function<void(const char*)> passes = {});
  struct Found {
    bool damaged = false;  // and set aside under the same name with `.damaged`
    std::string fault;
    std::vector<std::pair<fleet::DrainDirective, fleet::Duration>> orders;  // with what is left of each lease
  };
  Found read(std::chrono::milliseconds unix_now);
  // False, with the reason in `fault`, where it can't be written; the file is as it was then.
  bool write(const std::vector<fleet::ActiveDirective>& orders, fleet::TimePoint now,
             std::chrono::milliseconds unix_now, std::string& fault);
  static const std::vector<const char*>& points();

 private:
  void pass(const char* point) const;

  std::string path_;
  std::function<void(const char*)> passes_;
};

}  // namespace pearchute::admin
