// The operators' side of one admin channel: connects, sends calls, and reports what became of each, once. It
// retries nothing.
//
// Lives on the event loop. Destroying it drops what is pending: no handler is called any more.
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
#include "net/driver.h"

namespace pearchute::admin {

// What became of a call.
enum class CallEnd {
  answered,     // the reply says whether it was done
  unreachable,  // no connection: nothing was asked
  silent,       // no answer in time: it may have been done
  broken,       // the connection ended, or what came is no reply: it may have been done
};
std::string_view name_of(CallEnd end);

// One connection, opened with the first call, and anew after it has ended.
class Caller final : public net::Connection::Listener {
 public:
  // Where the end is not `answered`, the reply is empty.
  using OnReply = std::function<void(CallEnd end, const v1::Reply& reply)>;
  using OnEvent = std::function<void(const v1::Event&)>;

  Caller(net::Loop& loop, const Endpoint& endpoint);
  ~Caller() override;

  // `on_reply` (may be empty) is called exactly once, after this event. The call's number is set here.
  void call(v1::Call call, Duration timeout, OnReply on_reply);
  // Watches the events behind number `after` (0: those from now on). `timeout` is for the watch to begin;
  // `on_end` is called once, when it can't begin or has ended.
  void watch(std::uint64_t after, Duration timeout, OnEvent on_event, OnReply on_end);

 private:
  // Sent, and not over yet.
  struct PendingCall {
    OnReply on_reply;
    OnEvent on_event;  // of a watch only
    bool watching = false;
  };
  void connect();  // unless a connection is there, or on its way
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
  std::unique_ptr<net::Connection> wire_;
  FrameReader reader_;
  std::map<std::uint64_t, PendingCall> pending_;  // by the call's number
  std::uint64_t next_number_ = 1;
  bool opened_ = false;  // the connection has been established
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::admin
