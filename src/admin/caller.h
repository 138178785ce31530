// The operators' side of one admin channel: connects, sends calls, and tells what became of each, once. Used
// by the command line and by tests. It decides nothing and repeats nothing by itself.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admin.pb.h"
#include "admin/frames.h"
#include "admin/place.h"
#include "net/driver.h"

namespace pearchute::admin {

enum class CallEnd {
  answered,     // the reply says whether it was done
  unreachable,  // no connection: nothing was asked
  silent,       // no answer in time: it may have been done
  broken,       // the connection ended, or what came is no reply: it may have been done
};
std::string_view name_of(CallEnd end);

class Caller final : public net::Connection::Listener {
 public:
  using Heard = std::function<void(CallEnd end, const v1::Reply& reply)>;
  // Connects with the first call, and anew after a connection has ended.
  Caller(net::Loop& loop, const Place& place);
  ~Caller() override;
  // `heard` comes exactly once, after this event. The call's number is set here.
  void call(v1::Call call, Duration within, Heard heard);
  // The events of a watch, and its end.
  void watch(std::uint64_t after, Duration within, std::function<void(const v1::Event&)> event, Heard ended);

 private:
  struct Waiting {
    Heard heard;
    std::function<void(const v1::Event&)> event;
    bool watching = false;
  };
  void connect();  // unless a connection is there, or on its way
  std::uint64_t send(v1::Call& call, Duration within, Waiting waiting);
  void on_data(std::string_view bytes) override;
  void on_closed() override;
  void end_all(CallEnd end);
  void end(std::uint64_t number, CallEnd end, const v1::Reply& reply);

  net::Loop& loop_;
  const Place place_;
  std::unique_ptr<net::Connection> wire_;
  FrameReader reader_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t next_number_ = 1;
  bool opened_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  void on_opened() override { opened_ = true; }
};

}  // namespace pearchute::admin
