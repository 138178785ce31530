#include "admin/admin_client.h"

#include <array>
#include <utility>

namespace pearchute::admin {

std::string_view name_of(CallEnd end) {
  constexpr std::array<std::string_view, 4> names = {"answered", "unreachable", "silent", "broken"};
  return names[static_cast<std::size_t>(end)];
}

Caller::Caller(net::Loop& loop, const Endpoint& endpoint) : loop_(loop), endpoint_(endpoint) {}

Caller::~Caller() {
  *alive_ = false;
  if (connection_) loop_.retire(std::move(connection_));
}

void Caller::call(v1::Call call, Duration timeout, OnReply on_reply) {
  send(call, timeout, {std::move(on_reply), {}, false});
}

void Caller::watch(std::uint64_t after, Duration timeout, OnEvent on_event, OnReply on_end) {
  v1::Call call;
  call.mutable_watch()->set_after(after);
  send(call, timeout, {std::move(on_end), std::move(on_event), false});
}

void Caller::connect() {
  if (connection_ && !connection_->closed()) return;
  if (connection_) loop_.retire(std::move(connection_));
  reader_ = {};
  opened_ = false;
  connection_ = std::make_unique<net::Connection>(loop_, endpoint_.address, *this);
}

void Caller::send(v1::Call& call, Duration timeout, PendingCall pending) {
  const std::uint64_t number = next_number_++;
  pending_[number] = std::move(pending);
  call.set_number(number);
  connect();
  std::string message;
  call.SerializeToString(&message);
  std::string frame;
  append_frame(frame, message);
  connection_->send(frame);
  loop_.at(loop_.now() + timeout, [this, alive = alive_, number] {
    if (*alive) on_timeout(number);
  });
}

void Caller::on_timeout(std::uint64_t number) {
  const auto at = pending_.find(number);
  if (at == pending_.end() || at->second.watching) return;
  finish(number, opened_ ? CallEnd::silent : CallEnd::unreachable, {});
}

void Caller::on_data(std::string_view bytes) {
  const bool valid = reader_.feed(bytes, [this](std::string_view message) { return on_message(message); });
  if (valid || !connection_) return;
  connection_->close();
  finish_all(CallEnd::broken);
}

// Returns false where the message is not a reply.
bool Caller::on_message(std::string_view message) {
  v1::Reply reply;
  if (!reply.ParseFromArray(message.data(), static_cast<int>(message.size()))) return false;
  const auto at = pending_.find(reply.number());
  if (at == pending_.end()) return true;  // the call has timed out
  PendingCall& pending = at->second;
  if (reply.has_event()) {
    if (pending.on_event) pending.on_event(reply.event());
  } else if (pending.on_event && reply.outcome() == v1::ok) {
    pending.watching = true;
  } else {
    finish(reply.number(), CallEnd::answered, reply);
  }
  return true;
}

void Caller::on_closed() { finish_all(opened_ ? CallEnd::broken : CallEnd::unreachable); }

void Caller::finish_all(CallEnd end) {
  while (!pending_.empty()) finish(pending_.begin()->first, end, {});
}

void Caller::finish(std::uint64_t number, CallEnd end, const v1::Reply& reply) {
  const auto at = pending_.find(number);
  if (at == pending_.end()) return;
  const OnReply on_reply = std::move(at->second.on_reply);
  pending_.erase(at);
  if (on_reply) on_reply(end, reply);
}

}  // namespace pearchute::admin
