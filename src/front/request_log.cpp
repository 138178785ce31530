#include "front/request_log.h"

namespace pearchute::net {

namespace {

double in_ms(Duration span) { return static_cast<double>(span.count()) / 1000; }

template <class... Args>
void write(LineRation& ration, spdlog::format_string_t<Args...> form, Args&&... args) {
  if (ration.allows()) spdlog::info(form, std::forward<Args>(args)...);
}

}  // namespace

void RequestLog::taken(std::string_view request, std::string_view type, OrderKey key, Duration time_left,
                       Duration came_earliest, Duration came_latest) {
  write(notable_,
        "request {} is taken: class {}, key {:016x}, {:.0f} ms left, it came {:.1f} to {:.1f} ms ago",
        request, type, key.value, in_ms(time_left), in_ms(came_earliest), in_ms(came_latest));
}

void RequestLog::waits(std::string_view request, std::string_view what) {
  write(notable_, "request {} waits: {}", request, what);
}

void RequestLog::leaves(const AttemptName& attempt, Duration told) {
  write(attempt.keeps_order ? notable_ : ordinary_, "request {} attempt {} leaves for {}, told {:.0f} ms",
        attempt.request, attempt.number, attempt.engine, in_ms(told));
}

void RequestLog::held_back(const AttemptName& attempt, std::string_view why) {
  write(notable_, "request {} attempt {} does not leave for {}: {}", attempt.request, attempt.number,
        attempt.engine, why);
}

void RequestLog::called_off(const AttemptName& attempt, CancelReason reason) {
  write(notable_, "request {} attempt {} at {} is called off: {}", attempt.request, attempt.number,
        attempt.engine, cancel_reason_names[static_cast<std::size_t>(reason)]);
}

void RequestLog::crossed(const AttemptName& attempt, std::string_view word) {
  write(notable_, "request {} attempt {} at {}: {} comes after it was called off", attempt.request,
        attempt.number, attempt.engine, word);
}

void RequestLog::ended(const AttemptName& attempt, Outcome outcome, Duration elapsed) {
  const bool is_ordinary = outcome == Outcome::succeeded && !attempt.keeps_order;
  write(is_ordinary ? ordinary_ : notable_, "request {} attempt {} at {} has ended after {:.1f} ms: {}",
        attempt.request, attempt.number, attempt.engine, in_ms(elapsed),
        outcome_keys[static_cast<std::size_t>(outcome)]);
}

void RequestLog::rests(OrderKey key, Duration span) {
  if (span > Duration(0)) write(notable_, "key {:016x} rests for {:.1f} ms", key.value, in_ms(span));
}

void RequestLog::answered(std::string_view request, bool keeps_order, int status, std::string_view how,
                          Duration age) {
  const bool is_ordinary = status == 200 && !keeps_order;
  write(is_ordinary ? ordinary_ : notable_, "request {} is answered {} after {:.1f} ms: {}", request, status,
        in_ms(age), how);
}

void RequestLog::withdrawn(std::string_view request, std::string_view how, Duration age) {
  write(notable_, "request {} is withdrawn after {:.1f} ms: {}", request, in_ms(age), how);
}

}  // namespace pearchute::net
