#include "front/front.h"

#include <algorithm>

#include "front/client.h"
#include "front/request_parser.h"
#include "front/responses.h"
#include "front/statement.h"
#include "service/flatten.h"

namespace pearchute::net {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The delay to expect of a wakeup or a client's request where other processes share the core: on a fully
// loaded machine, 1 % of the steps took 15 to 30 ms. The WorkloadManager finishes a request before its
// deadline by a little more than twice this delay.
constexpr milliseconds max_wakeup_delay(25);

// Adapts the service to the process's limits: each open request holds a client connection, and open requests
// may hold a third of the descriptors at most.
service::Deployment with_descriptor_limits(service::Deployment deployment, std::size_t descriptors) {
  ServiceDefinition& service = deployment.service;
  service.event_interval = std::max<Duration>(service.event_interval, max_wakeup_delay);
  const auto max_connections = static_cast<std::int64_t>(descriptors / 3);
  service.max_open_requests =
      service.max_open_requests > 0 ? std::min(service.max_open_requests, max_connections) : max_connections;
  return deployment;
}

// How long an answer is kept for a client whose connection broke, which reconnects at once. Answers that are
// kept for longer would accumulate beside the open requests.
constexpr seconds client_retry_window(1);

constexpr std::string_view submit_path_prefix = "/do/", result_path_prefix = "/job/";

}  // namespace

Front::Front(Loop& loop, const service::Deployment& deployment, std::uint64_t seed, std::size_t descriptors,
             std::size_t memory, Counters& counters)
    : loop_(loop),
      deployment_(with_descriptor_limits(deployment, descriptors)),
      counters_(counters),
      places_(descriptors),
      max_unparsed_bytes_(memory / 8),
      // 20 descriptors are reserved for the log, the command channel and the like.
      engines_(loop, deployment.links, descriptors > 40 ? descriptors - descriptors / 2 - 20 : 1, *this,
               counters),
      manager_(deployment_.service, seed, *this) {
  counters_.rules.configure(deployment_.service);
  loop.after_each_poll([this] { return !arrivals_.empty(); }, [this] { submit_released(); });
  sweep();
}

Front::~Front() = default;

void Front::finish_request(RequestId id, OpenRequest& request) {
  if (!request.answered) unanswered_requests_ -= 1;
  request.answered = true;
  places_.release(id);
  request.path_timer.cancel();
  counters_.rules.on_finished(id);
  // Guards against an attempt that is sent after the final answer, once its connection opens: where attempts
  // can't be cancelled the WorkloadManager leaves them open, and only the engine pool knows that this one is
  // still unsent.
  retract_unsent_attempts(id, request);
  statement_bytes_ -= request.statement.size();
  request.statement = {};
  if (awaiting_order_.erase(id) > 0) arrivals_.on_request_cancelled(id);
}

std::string Front::counters_as_json() {
  counters_.open_jobs = requests_.size(), counters_.open_clients = clients_.size();
  counters_.open_engine_connections = engines_.connections();
  counters_.failed_events = loop_.failed_events();
  counters_.open_dispatches = 0;
  for (const auto& [id, request] : requests_) counters_.open_dispatches += request.open_attempts.size();
  return counters_.as_json();
}

void Front::retract_unsent_attempts(RequestId id, OpenRequest& request) {
  for (SubmittedAttempt& submitted : request.open_attempts) {
    if (engines_.retract_unsent({id, submitted.index}, Outcome::not_sent)) record_retraction(id, submitted);
  }
}

void Front::record_retraction(RequestId id, SubmittedAttempt& submitted) {
  if (!std::exchange(submitted.is_sent, false)) return;
  counters_.rules.on_attempt_retracted(id);
}

bool Front::is_idle() const {
  if (unanswered_requests_ > 0) return false;
  const TimePoint now = loop_.now();
  return std::ranges::none_of(requests_, [&](const auto& one) {
    const OpenRequest& request = one.second;
    return request.status != 0 && !request.fetched && now - request.answered_at <= client_retry_window;
  });
}

std::optional<RequestId> Front::request_of_path(std::string_view path) const {
  if (!path.starts_with(result_path_prefix)) return std::nullopt;
  const auto number = parse_hex_id(path.substr(result_path_prefix.size()));
  if (!number || !requests_.contains(RequestId{*number})) return std::nullopt;
  return RequestId{*number};
}

bool Front::has_path(RequestId id) const {
  const auto it = requests_.find(id);
  return it != requests_.end() && it->second.has_path;
}

bool Front::may_be_fetched(RequestId id) const {
  const auto it = requests_.find(id);
  return it != requests_.end() && (!it->second.answered || it->second.status != 0);
}

void Front::on_http_request(Client& client, const std::string& method, const std::string& path,
                            Message& message) {
  const std::string_view target(path);
  const auto expected = std::exchange(client.expected_path, std::nullopt);
  if (expected && request_of_path(target) != expected) disconnect_if_unattended(*expected);
  if (target == "/check") {
    const bool up = ready_ && !draining_;
    return respond(client.id(), up ? 200 : 503, "", up ? R"({"up":true})" : R"({"up":false})");
  }
  if (target == "/counters" && method == "GET") return respond(client.id(), 200, "", counters_as_json());
  if (target.starts_with(submit_path_prefix)) {
    if (method == "POST")
      return accept_request(client, percent_decoded(target.substr(target.rfind('/') + 1)), message);
    ++counters_.bad_calls;
    return respond(client.id(), 405, "", error_body("work is posted"));
  }
  const std::optional<RequestId> id = request_of_path(target);
  if (!id || (method != "GET" && method != "DELETE")) {
    ++counters_.bad_calls;
    return respond(client.id(), id ? 405 : 404, "", error_body("nothing is here"));
  }
  OpenRequest& request = requests_.at(*id);
  if (method == "DELETE") {
    if (request.waiting_client) respond(*request.waiting_client, 404, "", error_body("withdrawn"));
    request.waiting_client.reset();
    const bool open = !request.answered;
    if (open) log_.on_cancelled_by_client(request.id, "DELETE", loop_.now() - request.accepted_at);
    finish_request(*id, request), request.status = 0;
    respond(client.id(), 200, "", "{}");
    if (open) {
      ++counters_.withdrawn;
      manager_.on_request_cancelled(loop_.now(), *id);
    }
    return forget_if_done(*id);
  }
  ++counters_.fetched_again;
  if (!request.answered && !admit_caller_of_path(client, *id, request))
    return respond(client.id(), 500, "", error_body("all connections are in use"));
  if (request.waiting_client) {  // the client reconnected before the end of its old connection was noticed
    if (const auto at = clients_.find(*request.waiting_client); at != clients_.end()) {
      Client& old = *at->second;
      drop(old, ClientCloseReason::came_again);
      old.waiting_request.reset();
    }
  }
  request.waiting_client = client.id();
  request.path_given_to.reset();
  client.waiting_request = *id;
  if (request.answered) {
    request.waiting_client.reset();
    if (request.status == 0) return respond(client.id(), 404, "", error_body("withdrawn"));
    request.fetched = true;
    respond(client.id(), request.status, request.headers, request.body,
            request.deadline + max_answer_lateness);
    expire_answer_at(loop_.now() + client_retry_window, *id, request);
    return;
  }
  manager_.on_client_reconnected(loop_.now(), *id);
}

// ---- Requests ----

void Front::accept_request(Client& client, std::string_view kind, Message& message) {
  const TimePoint now = loop_.now();
  const RequestTypeId type = deployment_.type(service::plain_name(std::string(kind)));
  const std::variant<Request, BadRequest> read = parse_request(deployment_, type, message);
  if (const auto* refusal = std::get_if<BadRequest>(&read))
    return reject(client, RefusalReason::unusable, refusal->status, refusal->fault);
  Request request = std::get<Request>(read);
  // The request timeout starts when the HTTP request arrived, which a busy loop reads late.
  request.time_left -= now - std::min(now, client.request_arrival());
  if (requests_.contains(request.id))
    return reject(client, RefusalReason::id_in_use, 409, "this request is being served");
  if (counters_.rules.forbids_taking_again({request.id, type, now + request.time_left}))
    return reject(client, RefusalReason::id_came_before, 409,
                  "a request with this id may have been executed; send a new id");
  if (!admit(client)) return refuse_for_lack_of_place(client);
  if (counters_.rules.forbids_taking(closing_)) return reject_temporarily(client, RefusalReason::ending);
  if (draining_) return reject_temporarily(client, RefusalReason::draining);
  // Accepts some requests above the limit, since a connection's previous request may not be forgotten yet
  // when its next one arrives.
  if (unanswered_requests_ >= 2 * static_cast<std::size_t>(deployment_.service.max_open_requests))
    return reject_temporarily(client, RefusalReason::too_many_open);
  if (statement_bytes_ + message.body.size() > max_unparsed_bytes_)
    return reject_temporarily(client, RefusalReason::too_much_unread);
  request.data_set = DataSetId{table_group(message.body).value_or(0)};
  ++counters_.jobs, ++unanswered_requests_;
  OpenRequest& open = requests_[request.id];
  open.id = message.header("x-request-id");
  open.kind = kind;
  std::ranges::replace(open.kind, ',', '_');  // the engine protocol sends it in a comma-separated list
  open.token = message.header("idempotency-key");
  open.statement = std::move(message.body);
  statement_bytes_ += open.statement.size();
  open.type = type;
  open.estimate_ms = request.work_ms;
  open.accepted_at = now, open.deadline = now + std::max(request.time_left, Duration(0));
  open.waiting_client = client.id();
  client.waiting_request = request.id;
  if (request.key && deployment_.service.types[static_cast<std::size_t>(type.value)].ordered_by_key) {
    open.order_key = request.key;
    submit_in_order(client, request, message.header("x-object"));
  } else {
    submit(request);
  }
  // Guards long requests against the loss of their connection: with a path, the client can fetch the answer
  // on another one. Most requests end within the delay and don't need the additional HTTP request.
  constexpr milliseconds path_delay(2000);
  if (request.time_left > path_delay && !open.answered)
    open.path_timer = ScopedTimer(loop_, now + path_delay, [this, id = request.id] { send_result_path(id); });
}

// Guards against handling requests of a key in the order in which they are read, where several are unread or
// one is buffered behind an open HTTP request: the WorkloadManager gets them in the order in which they
// arrived.
void Front::submit_in_order(Client& client, const Request& request, std::string_view key) {
  const TimePoint now = loop_.now();
  const auto [earliest, latest] = client.arrival_bounds();
  log_.on_received(requests_.at(request.id).id, requests_.at(request.id).kind, *request.key,
                   request.time_left, now - earliest, now - latest);
  Request arrived = request;
  arrived.arrival_order_known = std::ranges::none_of(clients_, [&](const auto& one) {
    return one.second.get() != &client && one.second->may_have_buffered_request_of(key);
  });
  awaiting_order_.emplace(request.id, arrived);
  arrivals_.on_request_read({request.id, *request.key, earliest, latest, now});
}

void Front::submit_released() {
  for (const ArrivalOrder::ReleasedRequest& settled : arrivals_.release(loop_.now(), loop_.read_up_to())) {
    const auto at = awaiting_order_.find(settled.id);
    Request request = at->second;
    awaiting_order_.erase(at);
    request.arrival_order_known &= settled.arrival_order_known;
    submit(request);
  }
}

// Passes a request to the WorkloadManager, unless its client has left while the arrival order was settled.
void Front::submit(const Request& request) {
  const auto it = requests_.find(request.id);
  if (it == requests_.end() || it->second.answered) return;
  const TimePoint now = loop_.now();
  Request updated = request;
  updated.time_left = it->second.deadline - now;
  counters_.rules.on_request(now, {request.id, request.type, it->second.order_key});
  manager_.on_request(now, updated);
  log_queue_cause(request.id);
}

void Front::log_queue_cause(RequestId id) {
  constexpr std::string_view causes[] = {"", "key_order", "key_quiet_period", "retry_budget", "capacity"};
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.order_key) return;
  const WorkloadManager::QueuedFor cause = manager_.queued_for(loop_.now(), id);
  if (cause != WorkloadManager::QueuedFor::not_queued)
    log_.on_queued(it->second.id, causes[static_cast<int>(cause)]);
}

void Front::reject(Client& client, RefusalReason reason, int status, std::string_view fault) {
  ++counters_.bad_calls;
  counters_.refused.add(reason);
  PEARCHUTE_LOG(spdlog::level::warn, "request invalid: reason={}", fault);
  respond(client.id(), status, "", error_body(fault));
}

void Front::reject_temporarily(Client& client, RefusalReason reason) {
  ++counters_.throttled;
  counters_.refused.add(reason);
  PEARCHUTE_LOG(spdlog::level::info, "request rejected before admission: reason={}",
                refusal_names[static_cast<std::size_t>(reason)]);
  const Duration retry_after =
      deployment_.service.sends_retry_after ? deployment_.service.max_retry_after : Duration(0);
  respond(client.id(), 503, retry_after_header(retry_after), R"({"abort":"TryLater"})");
}

void Front::send_result_path(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered || it->second.has_path || !it->second.waiting_client)
    return;
  OpenRequest& request = it->second;
  request.has_path = true;
  const ClientId waiting_client = *request.waiting_client;
  request.waiting_client.reset();
  respond(waiting_client, 200, "", "{\"link\":\"" + std::string(result_path_prefix) + request.id + "\"}");
  expire_answer_at(request.deadline + milliseconds(100), id, request);
  const auto at = clients_.find(waiting_client);
  if (at == clients_.end()) {  // the client wanted the connection closed after this answer
    reserve_place(id);
    return disconnect_if_unattended(id);
  }
  at->second->expected_path = id;
  request.path_given_to = waiting_client;
}

void Front::expire_answer_at(TimePoint when, RequestId id, OpenRequest& request) {
  if (request.expiry_timer.when() && *request.expiry_timer.when() <= when) return;
  request.expiry_timer = ScopedTimer(loop_, when, [this, id] {
    OpenRequest& expired = requests_.at(id);
    expired.expiry_timer.cancel();
    if (!expired.answered) return;
    expired.status = 0;
    forget_if_done(id);
  });
}

void Front::answer(RequestId id, OpenRequest& request, int status, std::string headers, std::string body) {
  if (request.answered) return;
  counters_.rules.on_answering({loop_.now(), request.deadline, request.answered});
  finish_request(id, request);
  request.answered_at = loop_.now();
  log_.on_answered(
      request.id, request.order_key.has_value(), status,
      request.rejection ? rejection_reason_names[static_cast<std::size_t>(*request.rejection)] : "done",
      request.answered_at - request.accepted_at);
  if (const Duration delay = loop_.now() - request.deadline; delay > Duration(0)) {
    PEARCHUTE_LOG(spdlog::level::warn, "request {} answered {} ms after its deadline", request.id,
                  delay.count() / 1000);
  }
  if (request.waiting_client) {
    request.fetched = true;
    respond(*request.waiting_client, status, headers, body, request.deadline + max_answer_lateness);
    if (request.has_path) expire_answer_at(loop_.now() + client_retry_window, id, request);
  }
  request.waiting_client.reset();
  // Kept for a while where the client has the path: it fetches the answer again if its connection breaks.
  if (request.has_path)
    request.status = status, request.headers = std::move(headers), request.body = std::move(body);
  // After the current event, since the WorkloadManager may still be handling the request.
  loop_.post([this, id] { forget_if_done(id); });
}

void Front::forget_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const OpenRequest& request = it->second;
  if (request.answered && request.status == 0 && request.open_attempts.empty()) requests_.erase(it);
}

void Front::answer_open_requests() {
  if (closing_) return;
  closing_ = true;
  // Requests whose arrival order is not settled have to be answered, too.
  const auto unsettled = std::exchange(awaiting_order_, {});
  for (const auto& [id, request] : unsettled) arrivals_.on_request_cancelled(id);
  for (const auto& [id, request] : std::map(unsettled.begin(), unsettled.end())) submit(request);
  manager_.on_shutdown(loop_.now());
}

}  // namespace pearchute::net
