// The list of engines as the command channel tells it: what was known at start, then the stream of events,
// applied once and in order, opened anew where it breaks or falls silent. It owns the engines' names and
// addresses. It never takes an engine from the list on its own, and tells nothing twice.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "engines/feed.h"
#include "engines/start_times.h"
#include "net/driver.h"
#include "net/log.h"
#include "service/deployment.h"

namespace pearchute::net {

struct Member {
  std::string name;
  EngineEndpoint engine;
  std::string address;
};

// Decodes events and keeps the count of them; knows no socket.
class EngineList {
 public:
  // `unix_start` is the Unix time at the instance's start, which places the engines' starts.
  EngineList(const service::Deployment& deployment, std::chrono::milliseconds unix_start)
      : deployment_(deployment), start_times_(unix_start) {}

  enum class Taken { applied, old, gap, broken };
  struct Change {
    Taken taken = Taken::broken;
    EndpointUpdate news = EndpointUpdate::delta;
    std::vector<Member> members;
    std::string fault;
  };
  Change known(const nlohmann::json& known);  // all that it says, as one remembered list
  Change event(std::string_view id, std::string_view data, bool gap_allowed);
  // Of what a configuration that is read again holds, the events that have not come yet, in order, up to a
  // gap or a broken one. `applied` hears each as it is taken.
  void take_newer(const nlohmann::json& known, const std::function<void(const Change&)>& applied);
  // The source of the list has said something; `is_current`: it has told by then all that it had.
  void heard(TimePoint now, bool is_current) { start_times_.heard(now, has_list_ && is_current); }
  std::int64_t cursor() const { return cursor_; }
  bool has_list() const { return has_list_; }
  std::size_t names() const { return ids_.size(); }

 private:
  Change read(const nlohmann::json& event);
  Change take(const nlohmann::json& event, std::int64_t number, bool gap_allowed);
  EngineId id_of(const std::string& name);
  void forget_gone(const Change& change);

  const service::Deployment& deployment_;
  StartTimes start_times_;
  std::int64_t cursor_ = 0;
  bool has_list_ = false;
  std::map<std::string, EngineId> ids_;
  std::set<EngineId> taken_ids_;
};

// The connection to the command channel.
class ListFeed final : public Wire::User, public EventFeed::Listener {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void list_changed(EndpointUpdate news, const std::vector<Member>& members) = 0;
  };
  ListFeed(Loop& loop, std::string address, EngineList& list, Listener& listener, Counters& counters);
  ~ListFeed() override;
  void open();
  // The channel has another address from now on; the numbers carry on.
  void move_to(std::string address);

 private:
  void wire_opened() override;
  void wire_brought(std::string_view bytes) override;
  void wire_ended() override { again("the stream ended"); }
  void event_came(std::string_view id, std::string_view data) override;
  void again(const char* why);
  void watch(std::uint64_t which);

  Loop& loop_;
  std::string address_;
  EngineList& list_;
  Listener& listener_;
  Counters& counters_;
  std::unique_ptr<Wire> wire_;
  std::unique_ptr<EventFeed> feed_;
  std::uint64_t opened_ = 0;  // streams so far, which tells a timer's own from a later one
  TimePoint opened_at_{}, last_sign_{};
  Duration pause_{};  // before the next connection, a backoff
  static constexpr int most_patience = 16;
  int patience_ = 1;    // times the usual, for discovery's first word
  bool spoke_ = false;  // this stream has brought something
  bool gap_seen_ = false, broken_ = false;
};

}  // namespace pearchute::net
