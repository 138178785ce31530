#include "front/front.h"

#include <algorithm>

#include "front/answers.h"
#include "front/client.h"
#include "front/job_request.h"
#include "front/statement.h"
#include "service/flatten.h"

namespace pearchute::net {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// How late a wake or a call may come where others share the core: on a full machine, one step in a hundred
// took 15 to 30 ms on its way through. The module keeps clear of each job's end by twice this and a little.
constexpr milliseconds wakes_late(25);

// The service as it is on sockets: each open job holds a client's connection, and clients hold a third of the
// descriptors at most.
service::Deployment on_sockets(service::Deployment deployment, std::size_t descriptors) {
  ServiceDefinition& service = deployment.service;
  service.event_interval = std::max<Duration>(service.event_interval, wakes_late);
  const auto places = static_cast<std::int64_t>(descriptors / 3);
  service.max_open_requests =
      service.max_open_requests > 0 ? std::min(service.max_open_requests, places) : places;
  return deployment;
}

// A client whose connection broke calls again at once; more would let answers pile up beside the open jobs.
constexpr seconds long_enough_to_call_again(1);

// Of the clients' descriptors, for the last words to those who find no place.
constexpr std::size_t most_turned_away = 8;

constexpr std::string_view work_path = "/do/", job_path = "/job/";

}  // namespace

Front::Front(Loop& loop, const service::Deployment& deployment, std::uint64_t seed, std::size_t descriptors,
             std::size_t memory, Counters& counters)
    : loop_(loop),
      deployment_(on_sockets(deployment, descriptors)),
      counters_(counters),
      // Clients hold a third at most; half leaves room for strangers, and for what is on its way out. Of the
      // rest, a few are for the log, the list and the like.
      max_clients_(std::max<std::size_t>(descriptors / 2, 2 * most_turned_away) - most_turned_away),
      max_unparsed_bytes_(memory / 8),
      engines_(loop, deployment.links, descriptors > 40 ? descriptors - descriptors / 2 - 20 : 1, *this,
               counters),
      manager_(deployment_.service, seed, *this) {
  counters_.rules.configure(deployment_.service);
  loop.after_each_look([this] { return !arrivals_.empty(); }, [this] { submit_settled(); });
  sweep();
}

Front::~Front() = default;

void Front::finish_request(RequestId id, OpenRequest& request) {
  if (!request.answered) unanswered_requests_ -= 1;
  request.answered = true;
  counters_.rules.on_finished(id);
  // Guards against a dispatch that leaves after the final answer, once its connection is up: where nothing
  // can be called off the module leaves alone what is out, and only the sockets know that this never went
  // out.
  retract_unsent_attempts(id, request);
  statement_bytes_ -= request.statement.size();
  request.statement = {};
  if (awaiting_order_.erase(id) > 0) arrivals_.withdrawn(id);
}

std::string Front::counters_now() {
  counters_.open_jobs = requests_.size(), counters_.open_clients = clients_.size();
  counters_.open_engine_connections = engines_.connections();
  counters_.failed_events = loop_.failed_events();
  counters_.open_dispatches = 0;
  for (const auto& [id, request] : requests_) counters_.open_dispatches += request.out.size();
  return counters_.as_json();
}

// ---- Clients ----

// Guards against connections that are held for nothing, of whatever kind: what waits outside a full table
// would be taken late and out of turn. The least useful one goes, see usefulness; where all have a call open,
// the newcomer itself.
void Front::on_client_accepted(const Poco::Net::StreamSocket& socket) {
  ++counters_.connections;
  while (loop_.finishing() > 0 && clients_.size() + loop_.finishing() >= max_clients_ + most_turned_away)
    loop_.cut_finishing();
  if (clients_.size() >= max_clients_) {
    ++counters_.shed;
    const TimePoint now = loop_.now();
    Client* least = nullptr;
    for (const auto& [id, client] : clients_) {
      const bool is_less =
          client->is_evictable() && (!least || client->usefulness(now) < least->usefulness(now));
      if (is_less && may_close(*client)) least = client.get();
    }
    if (!least) return reject_connection(socket);
    least->connection().close();  // at once: many may come before the next event
    drop(*least, ClientCloseReason::table_full);
  }
  const ClientId id{next_client_++};
  clients_[id] = std::make_unique<Client>(*this, id, socket);
}

// Guards against the close of a connection on which a call has come that was not read yet.
bool Front::may_close(const Client& client) {
  return !counters_.rules.forbids_closing({client.owes_answer(), false, client.connection().has_unread()});
}

void Front::reject_connection(const Poco::Net::StreamSocket& socket) {
  counters_.clients_closed.add(ClientCloseReason::no_place);
  auto connection = std::make_unique<Connection>(loop_, socket, ignored_);
  std::string out;
  append_response(out, 503, "", R"({"abort":"TryLater"})", false);
  connection->send(out);
  loop_.finish(std::move(connection));
}

// Guards against calls that are never whole, many at once: the largest goes where all together hold too much.
void Front::evict_unparsed_request() {
  std::size_t held = statement_bytes_;
  Client* largest = nullptr;
  for (const auto& [id, client] : clients_) {
    held += client->held();
    if (client->is_evictable() && (!largest || client->held() > largest->held())) largest = client.get();
  }
  if (held <= max_unparsed_bytes_ || !largest || largest->held() == 0) return;
  ++counters_.shed;
  largest->end_with(503, "too much is unread", ClientCloseReason::too_much_unread);
}

void Front::drop(Client& client, ClientCloseReason reason) {
  const auto it = clients_.find(client.id());
  if (it == clients_.end()) return;
  counters_.clients_closed.add(reason);
  const bool has_left = reason == ClientCloseReason::client_left || reason == ClientCloseReason::came_again;
  counters_.rules.on_closing({client.owes_answer(), has_left});
  if (!has_left && reason != ClientCloseReason::last_answer && reason != ClientCloseReason::idle)
    PEARCHUTE_LOG(spdlog::level::info, "client connection {} closed: reason={}", client.id().value,
                  client_close_names[static_cast<std::size_t>(reason)]);
  if (const auto id = std::exchange(client.may_call, std::nullopt)) disconnect_if_unattended(*id);
  closed_clients_.push_back(std::move(it->second));
  clients_.erase(it);
  loop_.post([this] {
    for (auto& one : closed_clients_) {
      if (one->connection().closed()) loop_.retire(one->release_connection());
      else loop_.finish(one->release_connection());
    }
    closed_clients_.clear();
  });
}

void Front::on_client_left(Client& client, ClientCloseReason reason) {
  const std::optional<RequestId> id = client.waits_for;
  client.waits_for.reset();
  drop(client, reason);
  if (!id) return;
  const auto it = requests_.find(*id);
  if (it == requests_.end()) return;
  it->second.caller.reset();
  if (it->second.answered) return;
  if (it->second.has_path) return disconnect_if_unattended(*id);  // it may call the path again
  log_.withdrawn(it->second.id, client_close_names[static_cast<std::size_t>(reason)],
                 loop_.now() - it->second.taken);
  finish_request(*id, it->second);
  ++counters_.withdrawn;
  manager_.on_request_cancelled(loop_.now(), *id);
  forget_if_done(*id);
}

// Guards against dispatches for clients that have gone: what has not left for an engine is taken back.
void Front::on_client_unreachable(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  manager_.on_client_disconnected(loop_.now(), id);
  retract_unsent_attempts(id, it->second);
}

void Front::retract_unsent_attempts(RequestId id, OpenRequest& request) {
  for (SentAttempt& sent : request.out) {
    if (engines_.retract_unsent({id, sent.index}, Outcome::not_sent)) record_retraction(id, sent);
  }
}

void Front::record_retraction(RequestId id, SentAttempt& sent) {
  if (!std::exchange(sent.has_left, false)) return;
  counters_.rules.on_attempt_retracted(id);
}

void Front::disconnect_if_unattended(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.caller) on_client_unreachable(id);
}

bool Front::idle() const {
  if (unanswered_requests_ > 0) return false;
  const TimePoint now = loop_.now();
  return std::ranges::none_of(requests_, [&](const auto& one) {
    const OpenRequest& request = one.second;
    return request.status != 0 && !request.fetched && now - request.answered_at <= long_enough_to_call_again;
  });
}

bool Front::all_written() const {
  return loop_.all_written() && std::ranges::all_of(clients_, [](const auto& one) {
           return one.second->connection().waiting() == 0;
         });
}

void Front::respond(ClientId id, int status, std::string_view headers, std::string_view body) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = *it->second;
  client.waits_for.reset();
  client.note_answered();
  std::string out;
  // A client that is given a path calls it on the same connection.
  const bool keep = client.http().keeps_alive() &&
                    ((!closing_idle_connections_ && !draining_) || body.starts_with("{\"link\""));
  append_response(out, status, headers, body, keep);
  client.connection().send(out);
  if (!keep) return drop(client, ClientCloseReason::last_answer);
  // Later, since a further call may wait there, and the module may be at work on this one.
  loop_.post([this, id] {
    if (const auto at = clients_.find(id); at != clients_.end()) at->second->answered();
  });
}

std::optional<RequestId> Front::request_of_path(std::string_view path) const {
  if (!path.starts_with(job_path)) return std::nullopt;
  const auto number = hex_in(path.substr(job_path.size()));
  if (!number || !requests_.contains(RequestId{*number})) return std::nullopt;
  return RequestId{*number};
}

void Front::called(Client& client, const std::string& method, const std::string& path, Message& message) {
  const std::string_view whole(path);
  const auto promised = std::exchange(client.may_call, std::nullopt);
  if (promised && request_of_path(whole) != promised) disconnect_if_unattended(*promised);
  if (whole == "/check") {
    const bool up = ready_ && !draining_;
    return respond(client.id(), up ? 200 : 503, "", up ? R"({"up":true})" : R"({"up":false})");
  }
  if (whole == "/counters" && method == "GET") return respond(client.id(), 200, "", counters_now());
  if (whole.starts_with(work_path)) {
    if (method == "POST")
      return accept_request(client, percent_decoded(whole.substr(whole.rfind('/') + 1)), message);
    ++counters_.bad_calls;
    return respond(client.id(), 405, "", error_body("work is posted"));
  }
  const std::optional<RequestId> id = request_of_path(whole);
  if (!id || (method != "GET" && method != "DELETE")) {
    ++counters_.bad_calls;
    return respond(client.id(), id ? 405 : 404, "", error_body("nothing is here"));
  }
  OpenRequest& request = requests_.at(*id);
  if (method == "DELETE") {
    if (request.caller) respond(*request.caller, 404, "", error_body("withdrawn"));
    request.caller.reset();
    const bool open = !request.answered;
    if (open) log_.withdrawn(request.id, "DELETE", loop_.now() - request.taken);
    finish_request(*id, request), request.status = 0;
    respond(client.id(), 200, "", "{}");
    if (open) {
      ++counters_.withdrawn;
      manager_.on_request_cancelled(loop_.now(), *id);
    }
    return forget_if_done(*id);
  }
  ++counters_.fetched_again;
  if (request.caller) {  // the connection that the client left has not been seen to end yet
    const auto old = clients_.find(*request.caller);
    if (old != clients_.end())
      old->second->waits_for.reset(), drop(*old->second, ClientCloseReason::came_again);
  }
  request.caller = client.id();
  request.path_given_to.reset();
  client.waits_for = *id;
  if (request.answered) {
    request.caller.reset();
    if (request.status == 0) return respond(client.id(), 404, "", error_body("withdrawn"));
    request.fetched = true;
    respond(client.id(), request.status, request.headers, request.body);
    expire_answer_at(loop_.now() + long_enough_to_call_again, *id);
    return;
  }
  manager_.on_client_reconnected(loop_.now(), *id);
}

// ---- Jobs ----

void Front::accept_request(Client& client, std::string_view kind, Message& message) {
  const TimePoint now = loop_.now();
  const RequestTypeId type = deployment_.type(service::plain_name(std::string(kind)));
  const std::variant<Request, BadRequest> read = parse_request(deployment_, type, message);
  if (const auto* refusal = std::get_if<BadRequest>(&read))
    return reject(client, RefusalReason::unusable, refusal->status, refusal->what);
  Request request = std::get<Request>(read);
  // The client's time runs from when its call came, which a busy loop reads late.
  request.time_left -= now - std::min(now, client.call_came());
  if (requests_.contains(request.id))
    return reject(client, RefusalReason::id_in_use, 409, "this request is being served");
  if (counters_.rules.forbids_taking(closing_)) return reject_temporarily(client, RefusalReason::ending);
  if (draining_) return reject_temporarily(client, RefusalReason::draining);
  // A connection's last job may not be forgotten yet when its next one comes: a few over the limit are taken.
  if (unanswered_requests_ >= 2 * static_cast<std::size_t>(deployment_.service.max_open_requests))
    return reject_temporarily(client, RefusalReason::too_many_open);
  if (statement_bytes_ + message.body.size() > max_unparsed_bytes_)
    return reject_temporarily(client, RefusalReason::too_much_unread);
  request.data_set = DataSetId{table_group(message.body).value_or(0)};
  ++counters_.jobs, ++unanswered_requests_;
  OpenRequest& open = requests_[request.id];
  open.id = message.header("x-request-id");
  open.kind = kind;
  std::ranges::replace(open.kind, ',', '_');  // it goes on in a list that commas set apart
  open.token = message.header("idempotency-key");
  open.statement = std::move(message.body);
  statement_bytes_ += open.statement.size();
  open.type = type;
  open.estimate_ms = request.work_ms;
  open.taken = now, open.end = now + std::max(request.time_left, Duration(0));
  open.caller = client.id();
  client.waits_for = request.id;
  if (request.key && deployment_.service.types[static_cast<std::size_t>(type.value)].ordered_by_key) {
    open.order_key = request.key;
    submit_in_order(client, request, message.header("x-object"));
  } else {
    submit(request);
  }
  // Guards long jobs against the loss of their connection: with a path, the client can call again.
  constexpr milliseconds long_hold(2000);  // most jobs are over by then, without a call more
  if (request.time_left > long_hold)
    loop_.at(now + long_hold, [this, id = request.id] { send_result_path(id); });
}

// Guards against calls of a key that are taken in the order in which they are read, where several lie unread
// or one waits behind an open call: the module hears of them as they came.
void Front::submit_in_order(Client& client, const Request& request, std::string_view key) {
  const TimePoint now = loop_.now();
  const auto [earliest, latest] = client.call_came_between();
  log_.taken(requests_.at(request.id).id, requests_.at(request.id).kind, *request.key, request.time_left,
             now - earliest, now - latest);
  Request arriving = request;
  arriving.arrival_order_known = std::ranges::none_of(clients_, [&](const auto& one) {
    return one.second.get() != &client && one.second->may_hold_call_of(key);
  });
  awaiting_order_.emplace(request.id, arriving);
  arrivals_.came({request.id, *request.key, earliest, latest, now});
}

void Front::submit_settled() {
  for (const ArrivalOrder::Settled& settled : arrivals_.settle(loop_.now(), loop_.read_up_to())) {
    const auto at = awaiting_order_.find(settled.id);
    Request request = at->second;
    awaiting_order_.erase(at);
    request.arrival_order_known &= settled.arrival_order_known;
    submit(request);
  }
}

// Its client may have left meanwhile.
void Front::submit(const Request& request) {
  const auto it = requests_.find(request.id);
  if (it == requests_.end() || it->second.answered) return;
  const TimePoint now = loop_.now();
  Request taken = request;
  taken.time_left = it->second.end - now;
  counters_.rules.on_request(now, {request.id, request.type, it->second.order_key});
  manager_.on_request(now, taken);
  log_queue_cause(request.id);
}

void Front::log_queue_cause(RequestId id) {
  constexpr std::string_view words[] = {"", "key_order", "key_quiet_period", "retry_budget", "capacity"};
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.order_key) return;
  const WorkloadManager::QueuedFor what = manager_.queued_for(loop_.now(), id);
  if (what != WorkloadManager::QueuedFor::not_queued)
    log_.waits(it->second.id, words[static_cast<int>(what)]);
}

void Front::reject(Client& client, RefusalReason reason, int status, std::string_view what) {
  ++counters_.bad_calls;
  counters_.refused.add(reason);
  PEARCHUTE_LOG(spdlog::level::warn, "request invalid: reason={}", what);
  respond(client.id(), status, "", error_body(what));
}

void Front::reject_temporarily(Client& client, RefusalReason reason) {
  ++counters_.throttled;
  counters_.refused.add(reason);
  PEARCHUTE_LOG(spdlog::level::info, "request rejected before admission: reason={}",
                refusal_names[static_cast<std::size_t>(reason)]);
  const Duration advice =
      deployment_.service.sends_retry_after ? deployment_.service.max_retry_after : Duration(0);
  respond(client.id(), 503, retry_after_header(advice), R"({"abort":"TryLater"})");
}

void Front::send_result_path(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered || it->second.has_path || !it->second.caller) return;
  OpenRequest& request = it->second;
  request.has_path = true;
  const ClientId caller = *request.caller;
  request.caller.reset();
  respond(caller, 200, "", "{\"link\":\"" + std::string(job_path) + request.id + "\"}");
  expire_answer_at(request.end + milliseconds(100), id);
  const auto at = clients_.find(caller);
  if (at == clients_.end()) return disconnect_if_unattended(id);
  at->second->may_call = id;
  request.path_given_to = caller;
}

void Front::expire_answer_at(TimePoint when, RequestId id) {
  loop_.at(when, [this, id] {
    const auto at = requests_.find(id);
    if (at == requests_.end() || !at->second.answered) return;
    at->second.status = 0;
    forget_if_done(id);
  });
}

void Front::answer(RequestId id, OpenRequest& request, int status, std::string headers, std::string body) {
  if (request.answered) return;
  counters_.rules.on_answering({loop_.now(), request.end, request.answered});
  finish_request(id, request);
  request.answered_at = loop_.now();
  log_.answered(
      request.id, request.order_key.has_value(), status,
      request.given_up ? rejection_reason_names[static_cast<std::size_t>(*request.given_up)] : "done",
      request.answered_at - request.taken);
  if (const Duration late = loop_.now() - request.end; late > Duration(0)) {
    PEARCHUTE_LOG(spdlog::level::warn, "request {} answered {} ms after its deadline", request.id,
                  late.count() / 1000);
  }
  if (request.caller) {
    request.fetched = true;
    respond(*request.caller, status, headers, body);
    if (request.has_path) expire_answer_at(loop_.now() + long_enough_to_call_again, id);
  }
  request.caller.reset();
  // Kept a while where the client has a path: should its connection break, it calls that again.
  if (request.has_path)
    request.status = status, request.headers = std::move(headers), request.body = std::move(body);
  // The module may still be at work on it.
  loop_.post([this, id] { forget_if_done(id); });
}

void Front::forget_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const OpenRequest& request = it->second;
  if (request.answered && request.status == 0 && request.out.empty()) requests_.erase(it);
}

void Front::close_idle_connections() {
  if (closing_idle_connections_) return;
  closing_idle_connections_ = true;
  std::vector<Client*> idle;
  for (const auto& [id, client] : clients_) {
    if (client->is_evictable() && !client->http().within_call() && may_close(*client))
      idle.push_back(client.get());
  }
  for (Client* client : idle) drop(*client, ClientCloseReason::manager_ends);
}

void Front::answer_all() {
  if (closing_) return;
  closing_ = true;
  // What still waits for its place in the order has to be answered, too.
  const auto arriving = std::exchange(awaiting_order_, {});
  for (const auto& [id, request] : arriving) arrivals_.withdrawn(id);
  for (const auto& [id, request] : std::map(arriving.begin(), arriving.end())) submit(request);
  manager_.closing(loop_.now());
}

void Front::sweep() {
  const TimePoint now = loop_.now();
  counters_.rules.forget_idle(now);
  std::vector<std::pair<Client*, int>> overdue;
  for (const auto& [id, client] : clients_) {
    if (const auto status = client->overdue(now)) overdue.emplace_back(client.get(), *status);
  }
  for (const auto& [client, status] : overdue) {
    const bool reads_nothing = client->connection().waiting() > 0;
    if (status > 0)
      client->end_with(status, "the call is not whole in time", ClientCloseReason::call_incomplete);
    else if (!client->is_evictable())
      client->connection().close(), on_client_left(*client, ClientCloseReason::answer_unread);
    else if (reads_nothing) drop(*client, ClientCloseReason::answer_unread);
    else if (may_close(*client)) drop(*client, ClientCloseReason::idle);
  }
  loop_.at(now + milliseconds(200), [this] { sweep(); });
}

}  // namespace pearchute::net
