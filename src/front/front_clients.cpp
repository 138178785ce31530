// The part of Front that owns the clients' connections: it accepts them, writes answers to them, and closes
// those that are idle, broken or in the way.
#include <algorithm>

#include "front/client.h"
#include "front/front.h"
#include "front/responses.h"

namespace pearchute::net {

using std::chrono::milliseconds;

// Guards against unused connections that fill the table: connections that wait to be accepted would be read
// late and out of order. The least useful connection is closed, see Client::usefulness; where all have an
// open HTTP request, the new connection is rejected.
void Front::on_client_accepted(const Poco::Net::StreamSocket& socket) {
  ++counters_.connections;
  while (loop_.finishing() > 0 &&
         clients_.size() + loop_.finishing() >= max_clients_ + max_rejected_connections)
    loop_.close_oldest_finishing();
  if (clients_.size() >= max_clients_) {
    ++counters_.shed;
    const TimePoint now = loop_.now();
    Client* least_useful = nullptr;
    for (const auto& [id, client] : clients_) {
      const bool is_less_useful = client->is_evictable() &&
                                  (!least_useful || client->usefulness(now) < least_useful->usefulness(now));
      if (is_less_useful && may_close(*client)) least_useful = client.get();
    }
    if (!least_useful) return reject_connection(socket);
    drop(*least_useful, ClientCloseReason::table_full);
    least_useful->connection().close();  // at once: many connections may be accepted before the next event
  }
  const ClientId id{next_client_++};
  clients_[id] = std::make_unique<Client>(*this, id, socket);
}

// Guards against closing a connection on which an HTTP request has arrived that is not read yet.
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

// Guards against many HTTP requests that are never completed: where all together hold too many bytes, the
// connection with the largest incomplete request is closed.
void Front::evict_unparsed_request() {
  std::size_t total = statement_bytes_;
  Client* largest = nullptr;
  for (const auto& [id, client] : clients_) {
    total += client->buffered_bytes();
    if (client->is_evictable() && (!largest || client->buffered_bytes() > largest->buffered_bytes()))
      largest = client.get();
  }
  if (total <= max_unparsed_bytes_ || !largest || largest->buffered_bytes() == 0) return;
  ++counters_.shed;
  largest->end_with(503, "too much is unread", ClientCloseReason::too_much_unread);
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
  if (const auto id = std::exchange(client.expected_path, std::nullopt)) disconnect_if_unattended(*id);
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
  drop(client, reason);
  const std::optional<RequestId> id = std::exchange(client.waiting_request, std::nullopt);
  if (!id) return;
  const auto it = requests_.find(*id);
  if (it == requests_.end()) return;
  it->second.waiting_client.reset();
  if (it->second.answered) return;
  if (it->second.has_path) return disconnect_if_unattended(*id);  // the client may request the path again
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

void Front::respond(ClientId id, int status, std::string_view headers, std::string_view body) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = *it->second;
  client.waiting_request.reset();
  client.clear_owed_answer();
  std::string out;
  // Keeps the connection where the answer gives a path, which the client requests on the same connection.
  const bool keep = client.http().keeps_alive() &&
                    ((!closing_idle_connections_ && !draining_) || body.starts_with("{\"link\""));
  append_response(out, status, headers, body, keep);
  client.connection().send(out);
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
    if (client->is_evictable() && !client->http().is_within_request() && may_close(*client))
      idle.push_back(client.get());
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
    if (status > 0)
      client->end_with(status, "the call is not whole in time", ClientCloseReason::call_incomplete);
    else if (!client->is_evictable())
      client->connection().close(), on_client_left(*client, ClientCloseReason::answer_unread);
    else if (has_unread_answer) drop(*client, ClientCloseReason::answer_unread);
    else if (may_close(*client)) drop(*client, ClientCloseReason::idle);
  }
  loop_.at(now + milliseconds(200), [this] { sweep(); });
}

}  // namespace pearchute::net
