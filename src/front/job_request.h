// Reads a client's call as a job, and says which of its fields can't be used. It knows no connection and no
// other job.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "core/types.h"
#include "net/http.h"
#include "service/deployment.h"

namespace pearchute::net {

// A call that no job can be made of: the answer's status, and what is wrong.
struct BadRequest {
  int status = 400;
  std::string_view what;
};

// A number as clients write ids and keys: 16 hex digits in lower case.
std::optional<std::uint64_t> hex_in(std::string_view text);

// Its data set is not looked up yet: that takes a walk over the statement.
std::variant<Request, BadRequest> parse_request(const service::Deployment& deployment, RequestTypeId type,
                                                const Message& message);

}  // namespace pearchute::net
