#include "lab/stand_ins/engine_list_channel.h"

#include <nlohmann/json.hpp>

#include "net/connection.h"

namespace pearchute::lab {

class StandInChannel::Stream final : public net::Connection::Listener, public net::HttpServerSide::Listener {
 public:
  Stream(StandInChannel& channel, const Poco::Net::StreamSocket& socket) : channel_(channel) {
    connection_ = std::make_unique<net::Connection>(channel.loop_, socket, *this);
  }
  std::unique_ptr<net::Connection> release_connection() { return std::move(connection_); }
  void on_data(std::string_view bytes) override {
    channel_.bytes_received_ += bytes.size();
    http_.feed(bytes);
  }
  void on_closed() override { channel_.close_stream(*this); }
  void called(const std::string&, const std::string&, net::Message& message) override {
    sent_count_ = static_cast<std::size_t>(std::atoll(std::string(message.header("last-event-id")).c_str()));
    channel_.asked_from_ = sent_count_, ++channel_.asked_;
    if (std::exchange(channel_.cut_next_, false) && sent_count_ < channel_.events_.size()) {
      connection_->send("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: " + channel_.events_[sent_count_].substr(0, 40) +
                        "\n\n");
      channel_.loop_.finish(std::move(connection_));
      return channel_.close_stream(*this);
    }
    is_open_ = true;
    write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
    send();
  }
  void refused_call(int) override { channel_.close_stream(*this); }
  void send() {
    if (!is_open_ || is_stranded_ || channel_.silent_) return;
    for (; sent_count_ < channel_.events_.size(); ++sent_count_)
      write("id: " + std::to_string(sent_count_ + 1) + "\ndata: " + channel_.events_[sent_count_] + "\n\n");
  }
  void send_keepalive() {
    if (is_open_ && !is_stranded_ && !channel_.silent_) write(": still here\n\n");
  }
  void strand() { is_stranded_ = true; }

 private:
  void write(const std::string& bytes) {
    channel_.bytes_sent_ += bytes.size();
    connection_->send(bytes);
  }

  StandInChannel& channel_;
  net::HttpServerSide http_{*this};
  std::unique_ptr<net::Connection> connection_;
  std::size_t sent_count_ = 0;
  bool is_open_ = false, is_stranded_ = false;
};

StandInChannel::StandInChannel(net::Loop& loop)
    : loop_(loop),
      listener_(loop, Poco::Net::SocketAddress("127.0.0.1:0"),
                [this](const auto& socket) {
                  auto stream = std::make_unique<Stream>(*this, socket);
                  Stream* key = stream.get();
                  streams_[key] = std::move(stream);
                }),
      closed_streams_(loop) {
  send_keepalives();
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
  for (const auto& [stream, owned] : streams_) stream->send();
}

void StandInChannel::fall_silent(bool silent) {
  silent_ = silent;
  for (const auto& [stream, owned] : streams_) stream->send();
}

void StandInChannel::cut_streams() {
  while (!streams_.empty()) close_stream(*streams_.begin()->first);
}

void StandInChannel::strand() {
  for (const auto& [stream, owned] : streams_) stream->strand();
}

void StandInChannel::close_stream(Stream& stream) {
  const auto at = streams_.find(&stream);
  if (at == streams_.end()) return;
  closed_streams_.take(std::move(at->second));
  streams_.erase(at);
}

void StandInChannel::send_keepalives() {
  for (const auto& [stream, owned] : streams_) stream->send_keepalive();
  loop_.at(loop_.now() + std::chrono::seconds(1), [this, alive = alive_] {
    if (*alive) send_keepalives();
  });
}

}  // namespace pearchute::lab
