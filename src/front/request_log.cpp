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
  write(notable_, "request {} received: type={} key={:016x} time_left_ms={:.0f} age_ms={:.1f}..{:.1f}",
        request, type, key.value, in_ms(time_left), in_ms(came_earliest), in_ms(came_latest));
}

void RequestLog::waits(std::string_view request, std::string_view what) {
  write(notable_, "request {} queued: reason={}", request, what);
}

void RequestLog::leaves(const AttemptName& attempt, Duration told) {
  write(attempt.keeps_order ? notable_ : ordinary_,
        "request {} attempt {} sent: endpoint={} timeout_ms={:.0f}", attempt.request, attempt.number,
        attempt.engine, in_ms(told));
}

void RequestLog::held_back(const AttemptName& attempt, std::string_view why) {
  write(notable_, "request {} attempt {} suppressed: endpoint={} rule={}", attempt.request, attempt.number,
        attempt.engine, why);
}

void RequestLog::called_off(const AttemptName& attempt, CancelReason reason) {
  write(notable_, "request {} attempt {} cancelled: endpoint={} reason={}", attempt.request, attempt.number,
        attempt.engine, cancel_reason_names[static_cast<std::size_t>(reason)]);
}

void RequestLog::crossed(const AttemptName& attempt, std::string_view word) {
  write(notable_, "request {} attempt {} late answer after cancel: endpoint={} answer={}", attempt.request,
        attempt.number, attempt.engine, word);
}

void RequestLog::ended(const AttemptName& attempt, Outcome outcome, Duration elapsed) {
  const bool is_ordinary = outcome == Outcome::succeeded && !attempt.keeps_order;
  write(is_ordinary ? ordinary_ : notable_,
        "request {} attempt {} ended: endpoint={} elapsed_ms={:.1f} outcome={}", attempt.request,
        attempt.number, attempt.engine, in_ms(elapsed), outcome_keys[static_cast<std::size_t>(outcome)]);
}

void RequestLog::rests(OrderKey key, Duration span) {
  if (span > Duration(0)) write(notable_, "key {:016x} quiet: duration_ms={:.1f}", key.value, in_ms(span));
}

void RequestLog::answered(std::string_view request, bool keeps_order, int status, std::string_view how,
                          Duration age) {
  const bool is_ordinary = status == 200 && !keeps_order;
  write(is_ordinary ? ordinary_ : notable_, "request {} answered: status={} elapsed_ms={:.1f} reason={}",
        request, status, in_ms(age), how);
}

void RequestLog::withdrawn(std::string_view request, std::string_view how, Duration age) {
  write(notable_, "request {} cancelled by client: elapsed_ms={:.1f} reason={}", request, in_ms(age), how);
}

}  // namespace pearchute::net
