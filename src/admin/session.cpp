#include "admin/session.h"

#include "admin.pb.h"

namespace pearchute::admin {

namespace {

// Events are dropped while the client has more unread bytes than this.
constexpr std::size_t max_unread_bytes_for_events = max_frame_bytes / 2;

void append_reply(const v1::Reply& reply, std::string& out) {
  std::string message;
  reply.SerializeToString(&message);
  if (message.size() <= max_frame_bytes) return append_frame(out, message);
  v1::Reply substitute;
  substitute.set_number(reply.number());
  substitute.set_outcome(v1::busy);
  substitute.set_fault("the answer is larger than a message may be");
  substitute.SerializeToString(&message);
  append_frame(out, message);
}

v1::Reply answer_to(const v1::Call& call, bool parsed, CallHandler& handler, std::uint64_t own_pid) {
  v1::Reply reply;
  reply.set_number(call.number());
  if (!parsed) {
    reply.set_outcome(v1::unusable);
    reply.set_fault("not a message of this protocol");
  } else if (call.what_case() == v1::Call::WHAT_NOT_SET) {
    reply.set_outcome(v1::unknown_call);
    reply.set_fault("this manager does not know that call");
  } else if (own_pid != 0 && call.pid() != 0 && call.pid() != own_pid) {
    reply.set_outcome(v1::refused);
    reply.set_fault("another process, " + std::to_string(own_pid) + ", is at this address");
  } else {
    handler.answer(call, reply);
  }
  return reply;
}

}  // namespace

std::vector<v1::Event> CallHandler::events_after(std::uint64_t) const { return {}; }

bool Session::feed(std::string_view bytes) {
  return reader_.feed(bytes, [&](std::string_view message) {
    calls_.emplace_back(message);
    return calls_.size() <= max_pending_calls;
  });
}

void Session::answer_pending(std::size_t unread_bytes, std::string& out) {
  for (int count = 0; count < max_calls_per_turn && !calls_.empty(); ++count) {
    if (unread_bytes + out.size() > max_unread_bytes) return;
    answer_next(out, unread_bytes);
  }
}

void Session::answer_next(std::string& out, std::size_t unread_bytes) {
  v1::Call call;
  const bool parsed = call.ParseFromString(calls_.front());
  calls_.pop_front();
  const v1::Reply reply = answer_to(call, parsed, handler_, own_pid_);
  append_reply(reply, out);
  if (!call.has_watch() || reply.outcome() != v1::ok) return;
  watch_ = call.number();
  if (call.watch().after() == 0) return;  // future events only
  for (const v1::Event& missed : handler_.events_after(call.watch().after()))
    send_event(missed, unread_bytes, out);
}

void Session::send_event(const v1::Event& event, std::size_t unread_bytes, std::string& out) {
  if (!watch_) return;
  if (unread_bytes + out.size() > max_unread_bytes_for_events) {
    ++lost_events_;
    return;
  }
  v1::Reply reply;
  reply.set_number(*watch_);
  *reply.mutable_event() = event;
  reply.mutable_event()->set_lost(lost_events_);
  lost_events_ = 0;
  append_reply(reply, out);
}

}  // namespace pearchute::admin
