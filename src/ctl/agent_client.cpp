#include "ctl/agent_client.h"

#include <future>

#include "agent/grpc_credentials.h"
#include "agent/rollout_codec.h"
#include "agent/rpc_deadline.h"

namespace pearchute::ctl {

using agent::v1::Agent;
using fleet::CommandOutcome;
using std::chrono::milliseconds;

namespace {

void set_deadline(grpc::ClientContext& context, milliseconds timeout) {
  context.set_deadline(agent::deadline_in(timeout));
}

CommandOutcome outcome_of(const grpc::Status& status) {
  if (status.ok()) return CommandOutcome::yes;
  const bool refused = status.error_code() == grpc::StatusCode::PERMISSION_DENIED ||
                       status.error_code() == grpc::StatusCode::INVALID_ARGUMENT;
  return refused ? CommandOutcome::refused : CommandOutcome::unreachable;
}

// `error` is the fault that the response states; empty where there is none.
CallOutcome call_outcome(const grpc::Status& status, const std::string& error) {
  if (!status.ok()) return {outcome_of(status), status.error_message()};
  return {error.empty() ? CommandOutcome::yes : CommandOutcome::refused, error};
}

// Calls `query` for each agent on a separate thread, and waits for all of them.
template <class Query>
auto query_all(const std::vector<AgentAddress>& agents, Query query) {
  using Result = std::invoke_result_t<Query, const AgentAddress&>;
  std::vector<std::future<Result>> pending;
  for (const AgentAddress& agent : agents)
    pending.push_back(std::async(std::launch::async, [&agent, query] { return query(agent); }));
  std::vector<Result> results;
  for (std::future<Result>& result : pending) results.push_back(result.get());
  return results;
}

}  // namespace

std::unique_ptr<Agent::Stub> AgentClient::stub_to(const AgentAddress& agent) const {
  return Agent::NewStub(agent::channel_to(agent.control, agent.name, fleet_.tls));
}

std::vector<AgentStatus> AgentClient::query_status() const {
  return query_all(fleet_.agents, [this](const AgentAddress& agent) { return query_status(agent); });
}

AgentStatus AgentClient::query_status(const AgentAddress& agent) const {
  AgentStatus result;
  result.agent = agent.name;
  grpc::ClientContext context;
  set_deadline(context, fleet_.call_timeout);
  const grpc::Status status = stub_to(agent)->Show(&context, {}, &result.response);
  result.outcome = outcome_of(status);
  result.error = status.ok() ? result.response.trouble() : status.error_message();
  return result;
}

std::vector<AgentRollouts> AgentClient::query_rollouts(const std::string& id) const {
  return query_all(fleet_.agents,
                   [this, id](const AgentAddress& agent) { return query_rollouts(agent, id); });
}

AgentRollouts AgentClient::query_rollouts(const AgentAddress& agent, const std::string& id) const {
  AgentRollouts result{&agent, false, {}};
  grpc::ClientContext context;
  set_deadline(context, fleet_.call_timeout);
  agent::v1::Operation request;
  request.set_id(id);
  result.answered = stub_to(agent)->Rollouts(&context, request, &result.response).ok();
  return result;
}

CallOutcome AgentClient::start_rollout(const AgentAddress& agent, const fleet::RolloutPlan& plan) const {
  grpc::ClientContext context;
  set_deadline(context, fleet_.call_timeout);
  agent::v1::Said response;
  const grpc::Status status = stub_to(agent)->StartRollout(&context, agent::to_wire(plan), &response);
  return call_outcome(status, response.fault());
}

CallOutcome AgentClient::control_rollout(const AgentAddress& agent, const std::string& id,
                                         const std::string& command) const {
  grpc::ClientContext context;
  set_deadline(context, fleet_.call_timeout);
  agent::v1::Word request;
  request.set_id(id);
  request.set_word(command);
  agent::v1::Said response;
  const grpc::Status status = stub_to(agent)->Say(&context, request, &response);
  return call_outcome(status, response.fault());
}

}  // namespace pearchute::ctl
