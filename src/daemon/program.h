// The program from start to exit, as one object with named states: it reads its configuration, puts the parts
// together, and ends them in turn. It serves nothing itself.
#pragma once

#include <functional>
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
  // What governs a running program, where anything does. It stands between the list of engines and the front,
  // and hears of the program's steps.
  class Annex : public EndpointWatch::Listener {
   public:
    virtual void entered(Phase phase) = 0;
    virtual void looked(TimePoint now) = 0;  // some fifty times a second, and fewer once it ends
  };
  struct Parts {
    Loop& loop;
    Front& front;
    const service::Deployment& deployment;
    std::string name, digest;   // of the configuration
    std::function<void()> end;  // as SIGTERM does
    std::function<std::string()> counters;
  };
  using MakeAnnex = std::function<std::unique_ptr<Annex>(const Parts&)>;
  // `file` holds the configuration. Throws std::exception with one plain line on what is missing or broken.
  explicit Program(const std::string& file, std::unique_ptr<spdlog::formatter> log = {},
                   const MakeAnnex& annex = {});
  ~Program();
  int run();
  // Reads a configuration as a start would, and starts nothing. Throws as the constructor does.
  static void check(const std::string& file);
  static std::string_view name_of(Phase phase);

 private:
  void enter(Phase phase);
  void watch();
  void read_again();
  void apply_configuration();  // throws std::exception where it can't be used
  void take_newer_events(const nlohmann::json& configuration);
  EndpointWatch::Listener& list_listener();

  Phase phase_ = Phase::starting;
  Counters counters_;
  Loop loop_;
  std::string file_, name_, before_;  // its configuration, less what may change
  service::Deployment deployment_;
  std::unique_ptr<EndpointList> list_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<Annex> annex_;  // ends before the front that it governs
  std::unique_ptr<EndpointWatch> feed_;
  std::unique_ptr<ListeningSocket> door_;
  TimePoint counters_at_{}, asked_at_{}, finishing_since_{}, reload_at_{};
  Duration give_up_after_{};               // from the order to end to the last answers
  std::optional<TimePoint> reload_until_;  // while a configuration is to be read again
};

}  // namespace pearchute::net
