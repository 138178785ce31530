// The calls that commands make to a manager's admin channel, and how their results map to a command's
// outcome.
#pragma once

#include "admin.pb.h"
#include "ctl/batch_executor.h"
#include "fleet/command_outcome.h"

namespace pearchute::ctl {

admin::v1::Call identity_request();
admin::v1::Call status_request();
// The page of engines, or of orders, that follows those already received.
admin::v1::Call engines_request(const BatchExecutor::Pages& before);
admin::v1::Call orders_request(const BatchExecutor::Pages& before);

// The outcome of one instance's call, as the exit status counts it.
fleet::CommandOutcome outcome_of(const CallResult& result);

}  // namespace pearchute::ctl
