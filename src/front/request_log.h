// Log lines for the steps of requests, so that an incident can be reconstructed from the log alone: a request
// is received and queued, its attempts are sent, cancelled and ended, and it is answered. Steps of requests
// in classes ordered by key and steps with an error have a rate limit of their own, which is higher than that
// of the routine steps of successful requests. Lines above a limit are dropped and counted in the next line.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"
#include "net/log.h"

namespace pearchute::net {

// Why an attempt that is sent gets cancelled.
enum class CancelReason : std::size_t {
  client_left,
  time_is_up,
  answered,  // its request has its final answer
  moved,     // the WorkloadManager has a better use for the request, e.g. another engine
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(CancelReason::count)>
    cancel_reason_names = {"client_left", "time_is_up", "answered", "moved"};

// An attempt, as clients and engines name it.
struct AttemptName {
  std::string_view request;
  int number = 0;  // from 1
  std::string_view engine;
  bool ordered_by_key = false;  // the class of the request
};

class RequestLog {
 public:
  // The request's last byte arrived between `max_age` and `min_age` ago.
  void on_received(std::string_view request, std::string_view type, OrderKey key, Duration time_left,
                   Duration max_age, Duration min_age);
  void on_queued(std::string_view request, std::string_view cause);
  // `timeout` is the time that the engine is given to answer.
  void on_sent(const AttemptName& attempt, Duration timeout);
  // `rule` forbids sending the attempt.
  void on_suppressed(const AttemptName& attempt, std::string_view rule);
  void on_cancelled(const AttemptName& attempt, CancelReason reason);
  // The engine has answered an attempt that was cancelled before.
  void on_late_answer(const AttemptName& attempt, std::string_view answer);
  void on_ended(const AttemptName& attempt, Outcome outcome, Duration elapsed);
  // The key enters a quiet period; nothing is logged where `duration` is 0.
  void on_quiet_period(OrderKey key, Duration duration);
  // `reason` is the rejection reason, or "done" for a result.
  void on_answered(std::string_view request, bool ordered_by_key, int status, std::string_view reason,
                   Duration age);
  void on_cancelled_by_client(std::string_view request, std::string_view reason, Duration age);

 private:
  LineRateLimit routine_limit_{400, 100}, notable_limit_{2000, 400};  // burst, lines a second
};

}  // namespace pearchute::net
