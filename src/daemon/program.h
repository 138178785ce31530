// The program from start to exit, as one object with named states: it reads its configuration, puts the parts
// together, and ends them in turn. It serves nothing itself.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "engines/list.h"
#include "front/front.h"
#include "net/driver.h"
#include "net/log.h"

namespace pearchute::net {

class Program {
 public:
  enum class Phase {
    starting,  // reading the configuration, opening the door
    listing,   // serving calls, but without a list of engines yet
    serving,
    leaving,    // asked to end: takes what still comes, answers what it has
    finishing,  // the door is shut; the last answers go out
    ended,
  };
  // Throws std::exception with one plain line on what is missing or broken.
  Program();
  ~Program();
  int run();

 private:
  void enter(Phase phase);
  void watch();
  void read_again();

  Phase phase_ = Phase::starting;
  Counters counters_;
  Loop loop_;
  std::string name_, before_;  // its configuration, less what may change
  service::Deployment deployment_;
  std::unique_ptr<EngineList> list_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<ListFeed> feed_;
  std::unique_ptr<Door> door_;
  Span counters_at_{}, asked_at_{}, give_up_after_{}, finishing_since_{};
};

}  // namespace pearchute::net
