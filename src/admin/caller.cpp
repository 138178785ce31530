#include "admin/caller.h"

#include <utility>

namespace pearchute::admin {

std::string_view name_of(CallEnd end) {
  constexpr std::string_view words[] = {"answered", "unreachable", "silent", "broken"};
  return words[static_cast<int>(end)];
}

Caller::Caller(net::Loop& loop, const Place& place) : loop_(loop), place_(place) {}

Caller::~Caller() {
  *alive_ = false;
  if (wire_) loop_.retire(std::move(wire_));
}

void Caller::call(v1::Call call, Duration within, Heard heard) {
  send(call, within, {std::move(heard), {}, false});
}

void Caller::watch(std::uint64_t after, Duration within, std::function<void(const v1::Event&)> event,
                   Heard ended) {
  v1::Call call;
  call.mutable_watch()->set_after(after);
  send(call, within, {std::move(ended), std::move(event), false});
}

void Caller::connect() {
  if (wire_ && !wire_->closed()) return;
  if (wire_) loop_.retire(std::move(wire_));
  reader_ = {};
  opened_ = false;
  wire_ = std::make_unique<net::Connection>(loop_, place_.address, *this);
}

std::uint64_t Caller::send(v1::Call& call, Duration within, Waiting waiting) {
  const std::uint64_t number = next_number_++;
  waiting_[number] = std::move(waiting);
  call.set_number(number);
  connect();
  std::string message, out;
  call.SerializeToString(&message);
  append_frame(out, message);
  wire_->send(out);
  loop_.at(loop_.now() + within, [this, alive = alive_, number] {
    if (!*alive) return;
    const auto at = waiting_.find(number);
    if (at == waiting_.end() || at->second.watching) return;
    end(number, opened_ ? CallEnd::silent : CallEnd::unreachable, {});
  });
  return number;
}

void Caller::on_data(std::string_view bytes) {
  const bool sound = reader_.feed(bytes, [&](std::string_view message) {
    v1::Reply reply;
    if (!reply.ParseFromArray(message.data(), static_cast<int>(message.size()))) return false;
    const auto at = waiting_.find(reply.number());
    if (at == waiting_.end()) return true;  // its time was up
    if (reply.has_event()) {
      if (at->second.event) at->second.event(reply.event());
    } else if (at->second.event && reply.outcome() == v1::ok) {
      at->second.watching = true;
    } else {
      end(reply.number(), CallEnd::answered, reply);
    }
    return true;
  });
  if (sound || !wire_) return;
  wire_->close();
  end_all(CallEnd::broken);
}

void Caller::on_closed() { end_all(opened_ ? CallEnd::broken : CallEnd::unreachable); }

void Caller::end_all(CallEnd how) {
  while (!waiting_.empty()) end(waiting_.begin()->first, how, {});
}

void Caller::end(std::uint64_t number, CallEnd how, const v1::Reply& reply) {
  const auto at = waiting_.find(number);
  if (at == waiting_.end()) return;
  const Heard heard = std::move(at->second.heard);
  waiting_.erase(at);
  if (heard) heard(how, reply);
}

}  // namespace pearchute::admin
