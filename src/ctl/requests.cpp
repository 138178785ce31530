#include "ctl/requests.h"

namespace pearchute::ctl {

using admin::v1::Call;
using fleet::CommandOutcome;

Call identity_request() {
  Call call;
  call.mutable_who();
  return call;
}

Call status_request() {
  Call call;
  call.mutable_status();
  return call;
}

Call engines_request(const BatchExecutor::Pages& received) {
  Call call;
  call.mutable_engines();
  if (!received.empty())
    call.mutable_engines()->set_after(received.back().reply.engines().engines().rbegin()->name());
  return call;
}

Call orders_request(const BatchExecutor::Pages& received) {
  std::uint32_t received_count = 0;
  for (const CallResult& page : received) {
    received_count += static_cast<std::uint32_t>(page.reply.orders().orders_size());
  }
  Call call;
  call.mutable_orders()->set_orders(received_count);
  return call;
}

CommandOutcome outcome_of(const CallResult& result) {
  if (result.ok()) return CommandOutcome::yes;
  if (!result.answered()) return CommandOutcome::unreachable;
  const std::string& verdict = result.reply.ordered().verdict();
  return verdict == "conflict" || verdict == "stale" ? CommandOutcome::conflict : CommandOutcome::refused;
}

}  // namespace pearchute::ctl
