// Parses and validates a client's HTTP request. It has no access to connections and other requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "core/types.h"
#include "net/http.h"
#include "service/deployment.h"

namespace pearchute::net {

// The HTTP status and the fault with which an invalid request is answered.
struct BadRequest {
  int status = 400;
  std::string_view fault;
};

// Parses an id or key as clients write them: 16 hex digits in lower case. Returns nullopt for other text.
std::optional<std::uint64_t> parse_hex_id(std::string_view text);

// Doesn't set the request's data set, which takes a scan of the statement; see table_group.
std::variant<Request, BadRequest> parse_request(const service::Deployment& deployment, RequestTypeId type,
                                                const Message& message);

}  // namespace pearchute::net
