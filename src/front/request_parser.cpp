#include "front/request_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>

#include "engines/engine_session.h"
#include "service/flatten.h"

namespace pearchute::net {

namespace {

std::optional<double> parse_number(std::string_view text) {
  double number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || stop != text.data() + text.size() || !std::isfinite(number))
    return std::nullopt;
  return number;
}

// Whether engines accept the text as a statement. An engine closes the connection on one that it can't read,
// with all attempts that are open on it, so such statements are rejected here.
bool is_valid_statement(std::string_view text) {
  return !text.empty() && is_utf8(text) && std::ranges::none_of(text, [](unsigned char c) {
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
  });
}

// The engine protocol sends the token in a list of comma-separated fields, so it must not contain separators.
bool is_valid_token(std::string_view token) {
  return token.size() <= 128 && std::ranges::all_of(token, [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace

std::optional<std::uint64_t> parse_hex_id(std::string_view text) {
  std::uint64_t number = 0;
  if (std::ranges::any_of(text, [](unsigned char c) { return std::isupper(c); })) return std::nullopt;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (text.size() != 16 || error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return number;
}

std::variant<Request, BadRequest> parse_request(const service::Deployment& deployment, RequestTypeId type,
                                                const Message& message) {
  if (type.value < 0) return BadRequest{404, "no such reservation type"};
  const auto id = parse_hex_id(message.header("x-request-id"));
  if (!id) return BadRequest{400, "X-Request-Id is not 16 hex digits"};
  // Rejects implausible values: a timeout of over twice the type's, more work than the largest machine does
  // in that time, or over four times its memory. A single one of them would distort the averages over all
  // requests.
  const RequestType& type_settings = deployment.service.types[static_cast<std::size_t>(type.value)];
  const double max_timeout_ms = 2e-3 * static_cast<double>(type_settings.request_timeout.count());
  const auto timeout = parse_number(message.header("x-timeout-ms"));
  if (!timeout || *timeout <= 0 || *timeout > max_timeout_ms)
    return BadRequest{400, "X-Timeout-Ms is not usable"};
  Request request;
  request.id = RequestId{*id};
  request.type = type;
  request.tenant = deployment.tenant(service::plain_name(std::string(message.header("x-tenant"))));
  request.time_left = Duration(static_cast<Duration::rep>(*timeout * 1000));
  const auto estimate = [&](const char* name, std::optional<double>& value, double max_value) {
    const std::string_view text = message.header(name);
    if (text.empty()) return true;
    const auto number = parse_number(text);
    if (!number || *number < 0 || *number > max_value) return false;
    if (*number > 0) value = *number;
    return true;
  };
  // Where the settings describe no machine kinds, or not their memory, estimates are not limited.
  constexpr double unlimited = std::numeric_limits<double>::max();
  MachineKind largest{.cores = 0};
  for (const MachineKind& one : deployment.service.kinds) {
    largest.cores = std::max(largest.cores, one.cores);
    largest.memory_mb = std::max(largest.memory_mb, one.memory_mb);
  }
  if (!estimate("x-cost-ms", request.work_ms, largest.cores > 0 ? max_timeout_ms * largest.cores : unlimited))
    return BadRequest{400, "X-Cost-Ms is not usable"};
  if (!estimate("x-est-mb", request.memory_mb, largest.memory_mb > 0 ? 4 * largest.memory_mb : unlimited))
    return BadRequest{400, "X-Est-Mb is not usable"};
  if (const std::string_view key = message.header("x-object"); !key.empty()) {
    const auto number = parse_hex_id(key);
    if (!number) return BadRequest{400, "X-Object is not 16 hex digits"};
    request.key = OrderKey{*number};
  }
  const std::string_view token = message.header("idempotency-key");
  if (!is_valid_token(token) ||
      (type_settings.idempotency == Idempotency::idempotent_by_key && token.empty()))
    return BadRequest{400, "Idempotency-Key is not usable"};
  if (!is_valid_statement(message.body)) return BadRequest{400, "the body is no statement"};
  return request;
}

}  // namespace pearchute::net
