// Connections that have ended while something may still be within them: they are let go once the event at
// hand is over. Each is an object with `release_connection`.
#pragma once

#include <memory>
#include <vector>

#include "net/driver.h"

namespace pearchute::net {

template <class Line>
class DeferredDeletion {
 public:
  explicit DeferredDeletion(Loop& loop) : loop_(loop) {}
  ~DeferredDeletion() { *alive_ = false; }
  DeferredDeletion(const DeferredDeletion&) = delete;
  DeferredDeletion& operator=(const DeferredDeletion&) = delete;
  void take(std::unique_ptr<Line> line) {
    lines_.push_back(std::move(line));
    loop_.post([this, alive = alive_] {
      if (!*alive) return;
      for (auto& one : lines_) loop_.retire(one->release_connection());
      lines_.clear();
    });
  }

 private:
  Loop& loop_;
  std::vector<std::unique_ptr<Line>> lines_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
