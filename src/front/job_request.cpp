#include "front/job_request.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>

#include "engines/resp.h"
#include "service/flatten.h"

namespace pearchute::net {

namespace {

std::optional<double> number_in(std::string_view text) {
  double number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || stop != text.data() + text.size() || !std::isfinite(number))
    return std::nullopt;
  return number;
}

// What engines can't read ends their connection, with all that is open there, so it never goes on to them.
bool is_statement(std::string_view text) {
  return !text.empty() && is_utf8(text) && std::ranges::none_of(text, [](unsigned char c) {
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
  });
}

// A token goes on among comma-separated fields, so it may hold nothing that would read as another.
bool token_fits(std::string_view token) {
  return token.size() <= 128 && std::ranges::all_of(token, [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace

std::optional<std::uint64_t> hex_in(std::string_view text) {
  std::uint64_t number = 0;
  if (std::ranges::any_of(text, [](unsigned char c) { return std::isupper(c); })) return std::nullopt;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (text.size() != 16 || error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return number;
}

std::variant<Request, BadRequest> parse_request(const service::Deployment& deployment, RequestTypeId type,
                                                const Message& message) {
  if (type.value < 0) return BadRequest{404, "no such reservation type"};
  const auto id = hex_in(message.header("x-request-id"));
  if (!id) return BadRequest{400, "X-Request-Id is not 16 hex digits"};
  // Figures that no client can mean: patience of over twice the type's, more work than the largest machine
  // does in that time, or several times its memory. One of them would spoil the means of all other jobs.
  const RequestType& traits = deployment.service.types[static_cast<std::size_t>(type.value)];
  const double longest = 2e-3 * static_cast<double>(traits.request_timeout.count());
  const auto patience = number_in(message.header("x-timeout-ms"));
  if (!patience || *patience <= 0 || *patience > longest)
    return BadRequest{400, "X-Timeout-Ms is not usable"};
  Request request;
  request.id = RequestId{*id};
  request.type = type;
  request.tenant = deployment.tenant(service::plain_name(std::string(message.header("x-tenant"))));
  request.time_left = Duration(static_cast<Duration::rep>(*patience * 1000));
  const auto estimate = [&](const char* name, std::optional<double>& value, double most) {
    const std::string_view text = message.header(name);
    if (text.empty()) return true;
    const auto number = number_in(text);
    if (!number || *number < 0 || *number > most) return false;
    if (*number > 0) value = *number;
    return true;
  };
  // Where the settings tell of no machines, or not of their memory, any figure may be meant.
  constexpr double any = std::numeric_limits<double>::max();
  MachineKind largest{.cores = 0};
  for (const MachineKind& one : deployment.service.kinds) {
    largest.cores = std::max(largest.cores, one.cores);
    largest.memory_mb = std::max(largest.memory_mb, one.memory_mb);
  }
  if (!estimate("x-cost-ms", request.work_ms, largest.cores > 0 ? longest * largest.cores : any))
    return BadRequest{400, "X-Cost-Ms is not usable"};
  if (!estimate("x-est-mb", request.memory_mb, largest.memory_mb > 0 ? 4 * largest.memory_mb : any))
    return BadRequest{400, "X-Est-Mb is not usable"};
  if (const std::string_view key = message.header("x-object"); !key.empty()) {
    const auto number = hex_in(key);
    if (!number) return BadRequest{400, "X-Object is not 16 hex digits"};
    request.key = OrderKey{*number};
  }
  const std::string_view token = message.header("idempotency-key");
  if (!token_fits(token) || (traits.idempotency == Idempotency::idempotent_by_key && token.empty()))
    return BadRequest{400, "Idempotency-Key is not usable"};
  if (!is_statement(message.body)) return BadRequest{400, "the body is no statement"};
  return request;
}

}  // namespace pearchute::net
