#include "admin/session.h"

#include "admin.pb.h"

namespace pearchute::admin {

namespace {

void put(const v1::Reply& reply, std::string& out) {
  std::string message;
  reply.SerializeToString(&message);
  if (message.size() <= largest_frame) return append_frame(out, message);
  v1::Reply instead;
  instead.set_number(reply.number());
  instead.set_outcome(v1::busy);
  instead.set_fault("the answer is larger than a message may be");
  instead.SerializeToString(&message);
  append_frame(out, message);
}

}  // namespace

std::vector<v1::Event> Desk::since(std::uint64_t) const { return {}; }

bool Session::feed(std::string_view bytes) {
  return reader_.feed(bytes, [&](std::string_view message) {
    calls_.emplace_back(message);
    return calls_.size() <= most_waiting;
  });
}

void Session::turn(std::size_t unread, std::string& out) {
  for (int count = 0; count < calls_each_turn && !calls_.empty(); ++count) {
    if (unread + out.size() > most_unread) return;
    v1::Call call;
    v1::Reply reply;
    const bool sound = call.ParseFromString(calls_.front());
    calls_.pop_front();
    reply.set_number(call.number());
    if (!sound) {
      reply.set_outcome(v1::unusable);
      reply.set_fault("not a message of this protocol");
    } else if (call.what_case() == v1::Call::WHAT_NOT_SET) {
      reply.set_outcome(v1::unknown_call);
      reply.set_fault("this manager does not know that call");
    } else {
      desk_.answer(call, reply);
    }
    put(reply, out);
    if (!call.has_watch() || reply.outcome() != v1::ok) continue;
    watch_ = call.number();
    if (call.watch().after() == 0) continue;  // from now on
    for (const v1::Event& missed : desk_.since(call.watch().after())) event(missed, unread, out);
  }
}

void Session::event(const v1::Event& event, std::size_t unread, std::string& out) {
  if (!watch_) return;
  if (unread + out.size() > largest_frame / 2) {
    ++lost_;
    return;
  }
  v1::Reply reply;
  reply.set_number(*watch_);
  *reply.mutable_event() = event;
  reply.mutable_event()->set_lost(lost_);
  lost_ = 0;
  put(reply, out);
}

}  // namespace pearchute::admin
