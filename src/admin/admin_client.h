// The client of one admin channel: connects, sends calls, and reports the result of each call exactly once.
// It retries nothing.
//
// Use on the event loop only. The destructor drops pending calls without calling their handlers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "admin.pb.h"
#include "admin/endpoint.h"
#include "admin/frames.h"
#include "net/connection.h"
#include "net/event_loop.h"

namespace pearchute::admin {

// The result of a call.
enum class CallEnd {
  answered,     // the reply has the outcome
  unreachable,  // no connection: the call was not sent
  silent,       // no reply before the timeout: the call may have taken effect
  broken,       // the connection ended, or an invalid reply was received: the call may have taken effect
};
std::string_view name_of(CallEnd end);

// Owns one connection. It is opened with the first call, and again by the next call after it has ended.
class Caller final : public net::Connection::Listener {
 public:
  // The reply is empty unless `end` is `answered`.
  using OnReply = std::function<void(CallEnd end, const v1::Reply& reply)>;
  using OnEvent = std::function<void(const v1::Event&)>;

  Caller(net::Loop& loop, const Endpoint& endpoint);
  ~Caller() override;

  // Calls `on_reply` (may be empty) exactly once, after the current event. Sets the call's number.
  void call(v1::Call call, Duration timeout, OnReply on_reply);
  // Watches the events with numbers over `after` (0: future events only). `timeout` limits how long the watch
  // takes to begin; `on_end` is called once, when the watch has failed to begin or has ended.
  void watch(std::uint64_t after, Duration timeout, OnEvent on_event, OnReply on_end);

 private:
  // A call that has been sent and has no result yet.
  struct PendingCall {
    OnReply on_reply;
    OnEvent on_event;  // set for a watch only
    bool watching = false;
  };
  void connect();  // unless a connection is open or being opened
  void send(v1::Call& call, Duration timeout, PendingCall pending);
  void on_timeout(std::uint64_t number);
  bool on_message(std::string_view message);
  void on_opened() override { opened_ = true; }
  void on_data(std::string_view bytes) override;
  void on_closed() override;
  void finish_all(CallEnd end);
  void finish(std::uint64_t number, CallEnd end, const v1::Reply& reply);

  net::Loop& loop_;
  const Endpoint endpoint_;
  std::unique_ptr<net::Connection> connection_;
  FrameReader reader_;
  std::map<std::uint64_t, PendingCall> pending_;  // by the call's number
  std::uint64_t next_number_ = 1;
  bool opened_ = false;  // the connection has been established
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::admin
