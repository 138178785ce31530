// The driver of an admin channel: listens, and moves bytes between operators' connections and their sessions,
// on the manager's own loop. It owns the connections and keeps their bounds; one that makes noise, never
// reads or says nothing is closed, and costs the clients' jobs nothing.
#pragma once

#include <memory>
#include <vector>

#include "admin/session.h"
#include "admin/terms.h"
#include "net/deferred_deletion.h"
#include "net/driver.h"

namespace pearchute::admin {

class AdminServer {
 public:
  // Throws std::exception where the place can't be listened at.
  AdminServer(net::Loop& loop, const Terms& terms, Desk& desk);
  ~AdminServer();
  void tell(const v1::Event& event);  // to each watch
  std::size_t watchers() const;
  std::size_t connections() const { return lines_.size(); }
  std::uint64_t turned_away() const { return turned_away_; }

 private:
  class Line;
  friend class Line;
  void came(const Poco::Net::StreamSocket& socket);
  void drop(Line& line);
  void sweep();

  net::Loop& loop_;
  const Terms terms_;
  Desk& desk_;
  std::vector<std::unique_ptr<Line>> lines_;
  net::DeferredDeletion<Line> gone_;
  std::unique_ptr<net::ListeningSocket> door_;
  std::uint64_t turned_away_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::admin
