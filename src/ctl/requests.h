// The calls that commands make to a manager's admin channel, and the mapping of their results to outcomes.
#pragma once

#include "admin.pb.h"
#include "ctl/batch_executor.h"
#include "fleet/command_outcome.h"

namespace pearchute::ctl {

admin::v1::Call identity_request();
admin::v1::Call status_request();
// Requests for the page of engines, or of orders, that follows the received ones.
admin::v1::Call engines_request(const BatchExecutor::Pages& received);
admin::v1::Call orders_request(const BatchExecutor::Pages& received);

// The outcome for one instance, from which the exit status of the command is computed.
fleet::CommandOutcome outcome_of(const CallResult& result);

}  // namespace pearchute::ctl
