#include "net/log.h"

#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>

#include "system/failures.h"

namespace pearchute::net {

namespace {

// Lines are buffered only where the program flushes them regularly: from the first call of flush_log on.
std::atomic<bool> is_buffering = false;

// Writes buffered lines in one call, and drops them where standard error is not ready. Uses a mutex, since an
// agent logs from several threads.
class NonBlockingSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  ~NonBlockingSink() override { flush_(); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (buffer_.size() + line.size() > max_write_bytes) flush_();
    buffer_.append(line.data(), line.data() + std::min<std::size_t>(line.size(), max_write_bytes));
    if (!is_buffering || message.level >= spdlog::level::warn) flush_();
  }
  void flush_() override {
    if (buffer_.size() == 0) return;
    pollfd ready{STDERR_FILENO, POLLOUT, 0};
    const bool is_writable =
        uninterrupted([&] { return ::poll(&ready, 1, 0); }) == 1 && (ready.revents & POLLOUT) != 0;
    if (is_writable) uninterrupted([&] { return ::write(STDERR_FILENO, buffer_.data(), buffer_.size()); });
    buffer_.clear();
  }

 private:
  // PIPE_BUF: a pipe that is ready accepts this many bytes, so the write can't block.
  static constexpr std::size_t max_write_bytes = 4096;
  spdlog::memory_buf_t buffer_;
};

}  // namespace

void start_log(const std::string& name, std::unique_ptr<spdlog::formatter> formatter) {
  auto logger = std::make_shared<spdlog::logger>(name, std::make_shared<NonBlockingSink>());
  if (formatter) logger->set_formatter(std::move(formatter));
  else logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %^%l%$ %v");
  spdlog::set_default_logger(std::move(logger));
}

void flush_log() {
  is_buffering = true;
  if (spdlog::logger* logger = spdlog::default_logger_raw()) logger->flush();
}

bool LineRateLimit::allows() {
  const std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                               std::chrono::steady_clock::now().time_since_epoch())
                               .count();
  tokens_ = std::min(burst_, tokens_ + lines_per_second_ * static_cast<double>(now - last_ms_) / 1000);
  last_ms_ = now;
  if (tokens_ < 1) return ++dropped_, false;
  tokens_ -= 1;
  if (dropped_ > 0)
    spdlog::log(spdlog::level::info, "{} lines like the next one dropped by the rate limit", dropped_);
  dropped_ = 0;
  return true;
}

namespace {

std::string rules_as_json(const RuleGuard& rules, std::uint64_t (RuleGuard::*count)(Rule) const) {
  std::string text = "{";
  for (std::size_t i = 0; i < rule_count; ++i) {
    const std::uint64_t value = (rules.*count)(static_cast<Rule>(i));
    if (value > 0) text += fmt::format(R"({}"{}":{})", text.size() > 1 ? "," : "", rule_names[i], value);
  }
  return text + "}";
}

}  // namespace

std::string Counters::as_json() const {
  std::string text = fmt::format(
      R"({{"taken_in":{{"connections":{},"calls":{},"bad_calls":{},"jobs":{},"fetched_again":{},"shed":{}}},)"
      R"("answered":{{"done":{},"throttled":{},"cancelled":{},"withdrawn":{}}},)"
      R"("sent":{{"dispatches":{},"never_minds":{},"hurries":{},"connections":{}}},"ended":{{)",
      connections, calls, bad_calls, jobs, fetched_again, shed, done, throttled, cancelled, withdrawn,
      dispatches, never_minds, hurries, engine_connections);
  for (std::size_t i = 0; i < outcome_keys.size(); ++i)
    text += fmt::format(R"({}"{}":{})", i ? "," : "", outcome_keys[i], ends[i]);
  text += fmt::format(
      R"(}},"notes":{},"broken_answers":{},"silent_connections":{},"list":{{"events":{},"connections":{},"broken":{}}},)"
      R"("open":{{"jobs":{},"dispatches":{},"clients":{},"engine_connections":{}}}}})",
      notes, broken_answers, silent_connections, list_events, list_connections, broken_events, open_jobs,
      open_dispatches, open_clients, open_engine_connections);
  text.pop_back();  // the closing brace; more members follow
  text += R"(,"clients_closed":)" + as_json_object(clients_closed, client_close_names);
  text += R"(,"client_states_at_close":)" + client_states_at_close.as_json();
  text += R"(,"engines_closed":)" + as_json_object(engines_closed, engine_close_names);
  text += R"(,"refused":)" + as_json_object(refused, refusal_names);
  text += R"(,"given_up":)" + as_json_object(given_up, rejection_reason_keys);
  text += R"(,"retried":)" + as_json_object(retried, outcome_keys);
  text += fmt::format(R"(,"rules":{{"checked":{},"failed_events":{},"held_back":)", rules.checked(),
                      failed_events);
  text += rules_as_json(rules, &RuleGuard::held_back) + R"(,"broken":)";
  text += rules_as_json(rules, &RuleGuard::broken) + "}}";
  return text;
}

}  // namespace pearchute::net
