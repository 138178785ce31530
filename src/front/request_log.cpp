#include "front/request_log.h"

namespace pearchute::net {

namespace {

double in_ms(Duration span) { return static_cast<double>(span.count()) / 1000; }

template <class... Args>
void write(LineRateLimit& limit, spdlog::format_string_t<Args...> form, Args&&... args) {
  if (limit.allows()) spdlog::info(form, std::forward<Args>(args)...);
}

}  // namespace

void RequestLog::on_received(std::string_view request, std::string_view type, OrderKey key,
                             Duration time_left, Duration max_age, Duration min_age) {
  write(notable_limit_, "request {} received: type={} key={:016x} time_left_ms={:.0f} age_ms={:.1f}..{:.1f}",
        request, type, key.value, in_ms(time_left), in_ms(max_age), in_ms(min_age));
}

void RequestLog::on_queued(std::string_view request, std::string_view cause) {
  write(notable_limit_, "request {} queued: reason={}", request, cause);
}

void RequestLog::on_sent(const AttemptName& attempt, Duration timeout) {
  write(attempt.ordered_by_key ? notable_limit_ : routine_limit_,
        "request {} attempt {} sent: endpoint={} timeout_ms={:.0f}", attempt.request, attempt.number,
        attempt.engine, in_ms(timeout));
}

void RequestLog::on_suppressed(const AttemptName& attempt, std::string_view rule) {
  write(notable_limit_, "request {} attempt {} suppressed: endpoint={} rule={}", attempt.request,
        attempt.number, attempt.engine, rule);
}

void RequestLog::on_cancelled(const AttemptName& attempt, CancelReason reason) {
  write(notable_limit_, "request {} attempt {} cancelled: endpoint={} reason={}", attempt.request,
        attempt.number, attempt.engine, cancel_reason_names[static_cast<std::size_t>(reason)]);
}

void RequestLog::on_late_answer(const AttemptName& attempt, std::string_view answer) {
  write(notable_limit_, "request {} attempt {} late answer after cancel: endpoint={} answer={}",
        attempt.request, attempt.number, attempt.engine, answer);
}

void RequestLog::on_ended(const AttemptName& attempt, Outcome outcome, Duration elapsed) {
  const bool is_routine = outcome == Outcome::succeeded && !attempt.ordered_by_key;
  write(is_routine ? routine_limit_ : notable_limit_,
        "request {} attempt {} ended: endpoint={} elapsed_ms={:.1f} outcome={}", attempt.request,
        attempt.number, attempt.engine, in_ms(elapsed), outcome_keys[static_cast<std::size_t>(outcome)]);
}

void RequestLog::on_quiet_period(OrderKey key, Duration duration) {
  if (duration > Duration(0))
    write(notable_limit_, "key {:016x} quiet: duration_ms={:.1f}", key.value, in_ms(duration));
}

void RequestLog::on_answered(std::string_view request, bool ordered_by_key, int status,
                             std::string_view reason, Duration age) {
  const bool is_routine = status == 200 && !ordered_by_key;
  write(is_routine ? routine_limit_ : notable_limit_,
        "request {} answered: status={} elapsed_ms={:.1f} reason={}", request, status, in_ms(age), reason);
}

void RequestLog::on_cancelled_by_client(std::string_view request, std::string_view reason, Duration age) {
  write(notable_limit_, "request {} cancelled by client: elapsed_ms={:.1f} reason={}", request, in_ms(age),
        reason);
}

}  // namespace pearchute::net
