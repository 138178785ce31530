#include "lab/stand_ins/engine_list_channel.h"

#include <nlohmann/json.hpp>

#include "net/connection.h"

namespace pearchute::lab {

class StandInChannel::Line final : public net::Connection::Listener, public net::HttpServerSide::Listener {
 public:
  Line(StandInChannel& channel, const Poco::Net::StreamSocket& socket) : channel_(channel) {
    wire_ = std::make_unique<net::Connection>(channel.loop_, socket, *this);
  }
  std::unique_ptr<net::Connection> release_connection() { return std::move(wire_); }
  void on_data(std::string_view bytes) override {
    channel_.bytes_received_ += bytes.size();
    http_.feed(bytes);
  }
  void on_closed() override { channel_.forget(*this); }
  void called(const std::string&, const std::string&, net::Message& message) override {
    told_ = static_cast<std::size_t>(std::atoll(std::string(message.header("last-event-id")).c_str()));
    channel_.asked_from_ = told_, ++channel_.asked_;
    if (std::exchange(channel_.cut_next_, false) && told_ < channel_.events_.size()) {
      wire_->send("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: " + channel_.events_[told_].substr(0, 40) + "\n\n");
      channel_.loop_.finish(std::move(wire_));
      return channel_.forget(*this);
    }
    open_ = true;
    write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
    send();
  }
  void refused_call(int) override { channel_.forget(*this); }
  void send() {
    if (!open_ || stranded_ || channel_.silent_) return;
    for (; told_ < channel_.events_.size(); ++told_)
      write("id: " + std::to_string(told_ + 1) + "\ndata: " + channel_.events_[told_] + "\n\n");
  }
  void comment() {
    if (open_ && !stranded_ && !channel_.silent_) write(": still here\n\n");
  }
  void strand() { stranded_ = true; }

 private:
  void write(const std::string& bytes) {
    channel_.bytes_sent_ += bytes.size();
    wire_->send(bytes);
  }

  StandInChannel& channel_;
  net::HttpServerSide http_{*this};
  std::unique_ptr<net::Connection> wire_;
  std::size_t told_ = 0;
  bool open_ = false, stranded_ = false;
};

StandInChannel::StandInChannel(net::Loop& loop)
    : loop_(loop),
      door_(loop, Poco::Net::SocketAddress("127.0.0.1:0"),
            [this](const auto& socket) {
              auto line = std::make_unique<Line>(*this, socket);
              Line* key = line.get();
              lines_[key] = std::move(line);
            }),
      gone_(loop) {
  tick();
}

StandInChannel::~StandInChannel() { *alive_ = false; }

nlohmann::json StandInChannel::event(std::size_t number, const std::vector<Member>& members, bool complete) {
  nlohmann::json event;
  event["cursor"] = number;
  event["nodes"]["revision"] = number;
  event["nodes"]["complete"] = complete;
  event["nodes"]["members"] = nlohmann::json::array();
  for (const Member& member : members) {
    event["nodes"]["members"].push_back({{"id", member.name},
                                         {"host_port", member.address},
                                         {"locality", member.zone},
                                         {"flavor", member.kind},
                                         {"cell", 0},
                                         {"phase", member.phase},
                                         {"up_since_ms", member.up_since_ms}});
  }
  return event;
}

void StandInChannel::tell(const std::vector<Member>& members, bool complete) {
  events_.push_back(event(events_.size() + 1, members, complete).dump());
  for (const auto& [line, owned] : lines_) line->send();
}

void StandInChannel::fall_silent(bool silent) {
  silent_ = silent;
  for (const auto& [line, owned] : lines_) line->send();
}

void StandInChannel::cut_streams() {
  while (!lines_.empty()) forget(*lines_.begin()->first);
}

void StandInChannel::strand() {
  for (const auto& [line, owned] : lines_) line->strand();
}

void StandInChannel::forget(Line& line) {
  const auto at = lines_.find(&line);
  if (at == lines_.end()) return;
  gone_.take(std::move(at->second));
  lines_.erase(at);
}

void StandInChannel::tick() {
  for (const auto& [line, owned] : lines_) line->comment();
  loop_.at(loop_.now() + std::chrono::seconds(1), [this, alive = alive_] {
    if (*alive) tick();
  });
}

}  // namespace pearchute::lab
