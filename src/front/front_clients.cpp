// The part of Front that owns the clients' connections: it accepts them, writes answers to them, and closes
// those that are idle, broken or in the way.
#include <algorithm>

#include "front/client.h"
#include "front/front.h"
#include "front/responses.h"

namespace pearchute::net {

using std::chrono::milliseconds;

namespace {

// A client's first request arrives a round trip after its connection.
constexpr milliseconds overflow_grace(25);

}  // namespace

bool Front::is_full() const { return clients_.size() + loop_.finishing() >= places_.max_connections(); }

bool Front::can_accept() {
  return !is_full() || loop_.has_written_finishing() || least_useful_connection() || oldest_silent_overflow();
}

// Guards against unused connections that fill the table: connections that wait to be accepted would be read
// late and out of order. The least useful connection is closed, see Client::usefulness. Where all are owed
// something, the new connection is kept without a place until its first request is read.
void Front::on_client_accepted(const Poco::Net::StreamSocket& socket) {
  ++counters_.connections;
  const bool has_place = make_place();
  while (is_full() && loop_.close_oldest_written()) {
  }
  if (is_full()) {
    if (Client* silent = oldest_silent_overflow()) evict(*silent, ClientCloseReason::no_place);
  }
  const ClientId id{next_client_++};
  const auto client = clients_.emplace(id, std::make_unique<Client>(*this, id, socket)).first;
  if (has_place) admit(*client->second);
}

bool Front::make_place() {
  if (places_.has_free_place()) return true;
  ++counters_.shed;
  Client* least_useful = least_useful_connection();
  if (least_useful) evict(*least_useful, ClientCloseReason::table_full);
  return places_.has_free_place();
}

Front::Client* Front::least_useful_connection() {
  const TimePoint now = loop_.now();
  Client* least_useful = nullptr;
  for (const auto& [id, client] : clients_) {
    if (!client->is_admitted() || !owes_client_nothing(client->state())) continue;
    if (least_useful && !(client->usefulness(now) < least_useful->usefulness(now))) continue;
    if (may_close(*client)) least_useful = client.get();
  }
  return least_useful;
}

// Clients are in the order in which they were accepted.
Front::Client* Front::oldest_silent_overflow() {
  const TimePoint now = loop_.now();
  for (const auto& [id, client] : clients_) {
    const bool is_silent =
        !client->is_admitted() && owes_client_nothing(client->state()) && client->age(now) >= overflow_grace;
    if (is_silent && may_close(*client)) return client.get();
  }
  return nullptr;
}

// Closes the connection at once, since many connections may be accepted before the next event.
void Front::evict(Client& client, ClientCloseReason reason) {
  drop(client, reason);
  client.connection().close();
}

// Returns whether the client has a place.
bool Front::admit(Client& client) {
  if (client.is_admitted()) return true;
  if (!places_.has_free_place()) return false;
  places_.take();
  client.set_admitted();
  return true;
}

// Returns whether a client that calls the path of an unanswered request has a place: the one that is reserved
// for it, or that of the connection on which it was before.
bool Front::admit_caller_of_path(Client& client, RequestId id, OpenRequest& request) {
  places_.release(id);
  if (admit(client)) return true;
  const std::optional<ClientId> former =
      request.waiting_client ? request.waiting_client : request.path_given_to;
  const auto at = former ? clients_.find(*former) : clients_.end();
  if (at == clients_.end()) return false;
  Client& old = *at->second;
  if (old.waiting_request != id && old.expected_path != id) return false;  // it has another request now
  old.expected_path.reset();
  drop(old, ClientCloseReason::came_again);
  return admit(client);
}

// Reserves a place for the client of a request that was given its path and has lost its connection.
void Front::reserve_place(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered || !it->second.has_path || it->second.waiting_client)
    return;
  if (places_.has_free_place()) places_.reserve(id);
}

// The request has not been passed on, so trying again is harmless.
void Front::refuse_for_lack_of_place(Client& client) {
  client.clear_owed_answer();
  std::string out;
  append_response(out, 503, "", R"({"abort":"TryLater"})", false);
  client.connection().send(out);
  drop(client, ClientCloseReason::no_place);
}

// Guards against closing a connection on which an HTTP request has arrived that is not read yet, or is about
// to arrive, or whose answer is on its way.
bool Front::may_close(const Client& client) {
  const ClientState state = client.state();
  return !counters_.rules.forbids_closing({.request_is_open = client.owes_answer(),
                                           .client_has_left = false,
                                           .has_unread_bytes = client.connection().has_unread(),
                                           .path_call_is_due = state == ClientState::path_given,
                                           .answer_is_unsent = state == ClientState::answer_unsent});
}

// Guards against many HTTP requests that are never completed: where all together hold too many bytes, the
// connection with the largest incomplete request is closed.
void Front::evict_unparsed_request() {
  std::size_t total = statement_bytes_;
  Client* largest = nullptr;
  for (const auto& [id, client] : clients_) {
    total += client->buffered_bytes();
    if (!client->has_open_request() && (!largest || client->buffered_bytes() > largest->buffered_bytes()))
      largest = client.get();
  }
  if (total <= max_unparsed_bytes_ || !largest || largest->buffered_bytes() == 0) return;
  ++counters_.shed;
  // 503 would refuse the request of a path that was given, which may have executed.
  const int status = largest->state() == ClientState::path_given ? 413 : 503;
  largest->end_with(status, "too much is unread", ClientCloseReason::too_much_unread);
}

void Front::drop(Client& client, ClientCloseReason reason) {
  const auto it = clients_.find(client.id());
  if (it == clients_.end()) return;
  const ClientState state = client.state();
  counters_.clients_closed.add(reason);
  counters_.client_states_at_close.add(reason, state);
  const bool has_left = reason == ClientCloseReason::client_left || reason == ClientCloseReason::came_again;
  counters_.rules.on_closing({client.owes_answer(), has_left});
  if (!has_left && reason != ClientCloseReason::last_answer && reason != ClientCloseReason::idle)
    PEARCHUTE_LOG(spdlog::level::info, "client connection {} closed: reason={} state={}", client.id().value,
                  client_close_names[static_cast<std::size_t>(reason)],
                  client_state_names[static_cast<std::size_t>(state)]);
  if (client.is_admitted()) places_.give_back();
  if (const auto id = std::exchange(client.expected_path, std::nullopt)) {
    reserve_place(*id);
    disconnect_if_unattended(*id);
  }
  closed_clients_.push_back(std::move(it->second));
  clients_.erase(it);
  loop_.post([this] {
    for (auto& one : closed_clients_) {
      if (one->connection().closed()) loop_.retire(one->release_connection());
      else loop_.finish(one->release_connection(), one->answer_useful_until());
    }
    closed_clients_.clear();
  });
}

void Front::on_client_left(Client& client, ClientCloseReason reason) {
  drop(client, reason);
  const std::optional<RequestId> id = std::exchange(client.waiting_request, std::nullopt);
  if (!id) return;
  const auto it = requests_.find(*id);
  if (it == requests_.end()) return;
  it->second.waiting_client.reset();
  if (it->second.answered) return;
  if (it->second.has_path) {  // the client may request the path again
    reserve_place(*id);
    return disconnect_if_unattended(*id);
  }
  log_.on_cancelled_by_client(it->second.id, client_close_names[static_cast<std::size_t>(reason)],
                              loop_.now() - it->second.accepted_at);
  finish_request(*id, it->second);
  ++counters_.withdrawn;
  manager_.on_request_cancelled(loop_.now(), *id);
  forget_if_done(*id);
}

// Guards against sending attempts for clients that have disconnected: retracts the unsent ones.
void Front::on_client_unreachable(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  manager_.on_client_disconnected(loop_.now(), id);
  retract_unsent_attempts(id, it->second);
}

void Front::disconnect_if_unattended(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.waiting_client) on_client_unreachable(id);
}

bool Front::has_written_all() const {
  return loop_.all_written() && std::ranges::all_of(clients_, [](const auto& one) {
           return one.second->connection().waiting() == 0;
         });
}

void Front::respond(ClientId id, int status, std::string_view headers, std::string_view body,
                    std::optional<TimePoint> useful_until) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = *it->second;
  client.waiting_request.reset();
  client.clear_owed_answer();
  std::string out;
  // Keeps the connection where the answer gives a path, which the client requests on the same connection.
  const bool keep = client.http().keeps_alive() && client.is_admitted() &&
                    ((!closing_idle_connections_ && !draining_) || body.starts_with("{\"link\""));
  append_response(out, status, headers, body, keep);
  client.connection().send(out);
  client.set_answer_useful_until(useful_until.value_or(loop_.now() + max_answer_lateness));
  if (!keep) return drop(client, ClientCloseReason::last_answer);
  // Done after the current event, since a further HTTP request may already be buffered, and the
  // WorkloadManager may still be handling this request.
  loop_.post([this, id] {
    if (const auto at = clients_.find(id); at != clients_.end()) at->second->start_next_request();
  });
}

void Front::close_idle_connections() {
  if (closing_idle_connections_) return;
  closing_idle_connections_ = true;
  std::vector<Client*> idle;
  for (const auto& [id, client] : clients_) {
    if (client->state() == ClientState::idle && may_close(*client)) idle.push_back(client.get());
  }
  for (Client* client : idle) drop(*client, ClientCloseReason::manager_ends);
}

void Front::sweep() {
  const TimePoint now = loop_.now();
  counters_.rules.forget_idle(now);
  std::vector<std::pair<Client*, int>> overdue;
  for (const auto& [id, client] : clients_) {
    if (const auto status = client->timeout_status(now)) overdue.emplace_back(client.get(), *status);
  }
  for (const auto& [client, status] : overdue) {
    const bool has_unread_answer = client->connection().waiting() > 0;
    if (status > 0) {
      client->end_with(status, "the call is not whole in time", ClientCloseReason::call_incomplete);
    } else if (client->has_open_request()) {
      on_client_left(*client, ClientCloseReason::answer_unread);
      client->connection().close();
    } else if (has_unread_answer) {
      drop(*client, ClientCloseReason::answer_unread);
    } else if (may_close(*client)) {
      drop(*client, ClientCloseReason::idle);
    }
  }
  loop_.at(now + milliseconds(200), [this] { sweep(); });
}

}  // namespace pearchute::net
