#include "admin/admin_server.h"

#include <unistd.h>

#include <algorithm>

#include "admin.pb.h"
#include "errors/error.h"
#include "net/log.h"
#include "net/owner_door.h"

namespace pearchute::admin {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AdminServer::Line final : public net::Connection::Listener {
 public:
  Line(AdminServer& admin_server, const Poco::Net::StreamSocket& socket)
      : admin_server_(admin_server),
        session_(admin_server.desk_),
        since_(admin_server.loop_.now()),
        stuck_since_(since_) {
    wire_ = std::make_unique<net::Connection>(admin_server.loop_, socket, *this);
  }
  net::Connection& wire() { return *wire_; }
  std::unique_ptr<net::Connection> release_connection() { return std::move(wire_); }
  Session& session() { return session_; }

  void on_data(std::string_view bytes) override {
    const bool within = session_.within();
    if (!session_.feed(bytes)) {
      PEARCHUTE_LOG(spdlog::level::warn, "admin channel: bytes that are no calls; connection closed");
      return admin_server_.drop(*this);
    }
    if (!within || !session_.within()) since_ = admin_server_.loop_.now();
    turn();
  }
  void on_closed() override { admin_server_.drop(*this); }
  void turn() {
    if (!wire_) return;
    std::string out;
    session_.turn(wire_->waiting(), out);
    wire_->send(out);
    // What is not answered yet is not read either; the sweep goes on with it, after what else has come for
    // clients and engines.
    wire_->pause(session_.waiting());
  }
  void event(const v1::Event& event) {
    std::string out;
    session_.event(event, wire_->waiting(), out);
    wire_->send(out);
  }
  bool overdue(TimePoint now) {
    constexpr seconds whole_call_within(5), read_within(10);
    if (wire_->waiting() == 0 || wire_->written() != written_)
      written_ = wire_->written(), stuck_since_ = now;
    if (now - stuck_since_ > read_within) return true;
    if (session_.within()) return now - since_ > whole_call_within;
    return !session_.watches() && now - since_ > admin_server_.terms_.idle_at_most;
  }

 private:
  AdminServer& admin_server_;
  Session session_;
  std::unique_ptr<net::Connection> wire_;
  TimePoint since_, stuck_since_;
  std::uint64_t written_ = 0;
};

AdminServer::AdminServer(net::Loop& loop, const Terms& terms, Desk& desk)
    : loop_(loop), terms_(terms), desk_(desk), gone_(loop) {
  const auto came_here = [this](const Poco::Net::StreamSocket& socket) { came(socket); };
  if (terms_.listen.path.empty())
    door_ = std::make_unique<net::ListeningSocket>(loop, terms_.listen.address, came_here);
  else door_ = net::open_owner_socket(loop, terms_.listen.path, came_here);
  spdlog::info("admin channel at {}", terms_.listen.text);
  sweep();
}

AdminServer::~AdminServer() {
  *alive_ = false;
  if (!terms_.listen.path.empty()) ::unlink(terms_.listen.path.c_str());
}

void AdminServer::came(const Poco::Net::StreamSocket& socket) {
  if (lines_.size() >= terms_.most_connections) {
    ++turned_away_;
    PEARCHUTE_LOG(spdlog::level::warn, "admin channel: {} connections are open; one more is closed",
                  lines_.size());
    return Poco::Net::StreamSocket(socket).close();
  }
  lines_.push_back(std::make_unique<Line>(*this, socket));
}

void AdminServer::drop(Line& line) {
  const auto it = std::ranges::find(lines_, &line, [](const auto& one) { return one.get(); });
  if (it == lines_.end()) return;
  gone_.take(std::move(*it));
  lines_.erase(it);
}

void AdminServer::tell(const v1::Event& event) {
  for (const auto& line : lines_) line->event(event);
}

std::size_t AdminServer::watchers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(lines_, [](const auto& line) { return line->session().watches(); }));
}

// Twenty times a second, which is also how often the rest of many calls goes on.
void AdminServer::sweep() {
  std::vector<Line*> overdue, due;
  const TimePoint now = loop_.now();
  for (const auto& line : lines_) {
    if (line->overdue(now)) overdue.push_back(line.get());
    else if (line->session().waiting()) due.push_back(line.get());
  }
  for (Line* line : overdue) drop(*line);
  for (Line* line : due) line->turn();
  loop_.at(now + milliseconds(50), [this, alive = alive_] {
    if (*alive) sweep();
  });
}

}  // namespace pearchute::admin
