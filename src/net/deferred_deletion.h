// Deletes connection objects after the current event, since a callback may still be running in them. The
// objects have a method `release_connection`, which returns their Connection.
#pragma once

#include <memory>
#include <vector>

#include "net/connection.h"
#include "net/event_loop.h"

namespace pearchute::net {

template <class Owner>
class DeferredDeletion {
 public:
  explicit DeferredDeletion(Loop& loop) : loop_(loop) {}
  ~DeferredDeletion() { *alive_ = false; }
  DeferredDeletion(const DeferredDeletion&) = delete;
  DeferredDeletion& operator=(const DeferredDeletion&) = delete;
  void take(std::unique_ptr<Owner> owner) {
    owners_.push_back(std::move(owner));
    loop_.post([this, alive = alive_] {
      if (!*alive) return;
      for (auto& one : owners_) loop_.retire(one->release_connection());
      owners_.clear();
    });
  }

 private:
  Loop& loop_;
  std::vector<std::unique_ptr<Owner>> owners_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
