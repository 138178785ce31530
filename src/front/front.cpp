#include "front/front.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>

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
  service.round = std::max<Span>(service.round, wakes_late);
  const auto places = static_cast<std::int64_t>(descriptors / 3);
  service.most_open = service.most_open > 0 ? std::min(service.most_open, places) : places;
  return deployment;
}

// A client whose connection broke calls again at once; more would let answers pile up beside the open jobs.
constexpr seconds long_enough_to_call_again(1);

// Of the clients' descriptors, for the last words to those who find no place.
constexpr std::size_t most_turned_away = 8;

constexpr std::string_view work_path = "/do/", job_path = "/job/";

std::optional<double> number_in(std::string_view text) {
  double number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || stop != text.data() + text.size() || !std::isfinite(number))
    return std::nullopt;
  return number;
}

std::optional<std::uint64_t> hex_in(std::string_view text) {
  std::uint64_t number = 0;
  if (std::ranges::any_of(text, [](unsigned char c) { return std::isupper(c); })) return std::nullopt;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (text.size() != 16 || error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return number;
}

// What engines can't read ends their connection, with all that is open there, so it never goes on to them.
bool is_statement(std::string_view text) {
  return !text.empty() && is_utf8(text) && std::ranges::none_of(text, [](unsigned char c) {
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
  });
}

// A token goes on among comma-separated fields, so it may hold nothing that would read as another.
bool token_fits(std::string_view token) {
  return token.size() <= 128 && std::ranges::all_of(token, [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

std::string come_back_in(Span span) {
  if (span <= Span(0)) return "";
  return "Retry-After-Ms: " + std::to_string(std::chrono::ceil<milliseconds>(span).count()) + "\r\n";
}

std::string fault(std::string_view what) {
  std::string body = "{\"error\":";
  append_json_string(body, what);
  return body + "}";
}

// The rows of all pages as an answer's body, or nothing where a page is not whole rows of three columns.
std::optional<std::string> rows_as_json(const std::vector<std::string>& pages) {
  std::string body = "{\"values\":[";
  bool first = true;
  for (const std::string& page : pages) {
    std::string_view rest = page;
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      if (end == std::string_view::npos) return std::nullopt;
      std::string_view row = rest.substr(0, end);
      rest.remove_prefix(end + 1);
      if (std::ranges::count(row, '\t') != 2) return std::nullopt;
      body.append(first ? "[" : ",[");
      first = false;
      for (int column = 0; column < 3; ++column) {
        const std::size_t tab = row.find('\t');
        if (column > 0) body.push_back(',');
        append_json_string(body, row.substr(0, tab));
        if (tab != std::string_view::npos) row.remove_prefix(tab + 1);
      }
      body.push_back(']');
    }
  }
  return body + "]}";
}

}  // namespace

// One client connection.
class Front::Client final : public Wire::User, public HttpServerSide::Listener {
 public:
  Client(Front& front, ClientId id, const Poco::Net::StreamSocket& socket)
      : front_(front), id_(id), http_(*this), since_(front.loop_.now()), stuck_since_(since_) {
    wire_ = std::make_unique<Wire>(front.loop_, socket, *this);
  }
  ClientId id() const { return id_; }
  HttpServerSide& http() { return http_; }
  Wire& wire() { return *wire_; }
  std::unique_ptr<Wire> give_wire() { return std::move(wire_); }
  void wire_brought(std::string_view bytes) override {
    const bool idle = !http_.call_open() && !http_.within_call();
    // The time to a whole call runs from the connection's start or the call's first byte, whatever comes
    // next.
    if (idle && calls_ > 0) since_ = front_.loop_.now();
    http_.feed(bytes);
    heed_bounds();
    if (http_.held() >= BufferPool::buffer_size) front_.shed_unread();
  }
  void wire_ended() override { front_.client_left(*this); }
  void called(const std::string& method, const std::string& path, Message& message) override {
    ++front_.counters_.calls, ++calls_;
    front_.called(*this, method, path, message);
  }
  void refused_call(int status) override {
    ++front_.counters_.bad_calls;
    PEARCHUTE_LOG(spdlog::level::warn, "a call that can't be read: {}", status);
    end_with(status, "the call can't be read");
  }
  void end_with(int status, std::string_view what) {
    std::string out;
    append_response(out, status, "", fault(what), false);
    wire_->send(out);
    front_.drop(*this);
  }
  // A call's answer has been put out.
  void answered() {
    since_ = front_.loop_.now();
    http_.answered();
    heed_bounds();
  }
  // Guards against clients that send on without reading, or many calls at once: what is not read stays with
  // them. Their calls get their answers in turn.
  void heed_bounds() {
    if (!wire_) return;                             // dropped
    constexpr std::size_t most_unread = 64 * 1024;  // more than the largest answer's usual size
    const bool out_of_sight = http_.has_enough() || wire_->waiting() > most_unread;
    const bool was = wire_->paused();
    wire_->pause(out_of_sight);
    // Guards against a client that leaves behind what is not read: its end is not seen, so nothing new begins
    // for it. Clients that make one call at a time and read its answer are never out of sight.
    if (waits_for && out_of_sight) front_.lose_sight(*waits_for);
    else if (waits_for && was) front_.manager_.caller_came(front_.loop_.now(), *waits_for);
  }

  // It holds its connection for nothing: no call is open, none has come whole.
  bool useless() const { return !http_.call_open() && !waits_for; }
  bool stranger() const { return calls_ == 0; }
  // The lower, the sooner it goes where places run short, and then the longest at it: one that has said
  // nothing since it came, one that is idle between calls, and last one that may just be about to call.
  std::pair<int, Span> usefulness(Span now) const {
    constexpr milliseconds calls_within(250);  // a usual client's first call comes a round trip after it does
    return {calls_ > 0 ? 1 : now - since_ < calls_within ? 2 : 0, since_};
  }
  std::size_t held() const { return http_.held(); }

  // Whether its time is up, and with what status; 0: without a word.
  std::optional<int> overdue(Span now) {
    if (wire_->waiting() > 0) {
      if (wire_->written() != written_) written_ = wire_->written(), stuck_since_ = now;
      // An answer that is read by nobody; a usual client reads at once.
      if (now - stuck_since_ > seconds(3)) return 0;
    } else {
      stuck_since_ = now;
      if (wire_->paused()) heed_bounds();
    }
    if (!useless()) return std::nullopt;
    // Usual clients send their call as soon as they are connected, in one piece. Clients that keep their
    // connection for longer than usual ones do, four seconds, don't need it to ask again.
    constexpr milliseconds whole_call_within(2000), idle_at_most(5500);
    const bool within = http_.within_call();
    if (now - since_ < (stranger() || within ? whole_call_within : idle_at_most)) return std::nullopt;
    return within ? 408 : 0;
  }

  std::optional<JobId> waits_for;
  std::optional<JobId> may_call;  // it was given this job's path, and has not called it yet

 private:
  Front& front_;
  ClientId id_;
  HttpServerSide http_;
  std::unique_ptr<Wire> wire_;
  Span since_, stuck_since_;
  std::uint64_t calls_ = 0, written_ = 0;
};

Front::Front(Loop& loop, const service::Deployment& deployment, std::uint64_t seed, std::size_t descriptors,
             std::size_t memory, Counters& counters)
    : loop_(loop),
      deployment_(on_sockets(deployment, descriptors)),
      counters_(counters),
      // Clients hold a third at most; half leaves room for strangers, and for what is on its way out. Of the
      // rest, a few are for the log, the list and the like.
      most_clients_(std::max<std::size_t>(descriptors / 2, 2 * most_turned_away) - most_turned_away),
      most_unread_(memory / 8),
      engines_(loop, deployment.links, descriptors > 40 ? descriptors - descriptors / 2 - 20 : 1, *this,
               counters),
      manager_(deployment_.service, seed, *this) {
  sweep();
}

Front::~Front() = default;

void Front::settle_account(JobId id, OpenJob& job) {
  if (!job.answered) owed_ -= 1;
  job.answered = true;
  // Guards against a dispatch that leaves after the final answer, once its connection is up: where nothing
  // can be called off the module leaves alone what is out, and only the sockets know that this never went
  // out.
  for (const Sent& sent : job.out) engines_.take_back({id, sent.number}, Outcome::never_sent);
  statement_bytes_ -= job.statement.size();
  job.statement = {};
}

std::string Front::counters_now() {
  counters_.open_jobs = jobs_.size(), counters_.open_clients = clients_.size();
  counters_.open_engine_connections = engines_.connections();
  counters_.open_dispatches = 0;
  for (const auto& [id, job] : jobs_) counters_.open_dispatches += job.out.size();
  return counters_.as_json();
}

// ---- Clients ----

// Guards against connections that are held for nothing, of whatever kind: what waits outside a full table
// would be taken late and out of turn. The least useful one goes, see usefulness; where all have a call open,
// the newcomer itself.
void Front::client_came(const Poco::Net::StreamSocket& socket) {
  ++counters_.connections;
  while (loop_.finishing() > 0 && clients_.size() + loop_.finishing() >= most_clients_ + most_turned_away)
    loop_.cut_finishing();
  if (clients_.size() >= most_clients_) {
    ++counters_.shed;
    const Span now = loop_.now();
    Client* least = nullptr;
    for (const auto& [id, client] : clients_) {
      if (client->useless() && (!least || client->usefulness(now) < least->usefulness(now)))
        least = client.get();
    }
    if (!least) return turn_away(socket);
    least->wire().close();  // at once: many may come before the next event
    drop(*least);
  }
  const ClientId id{next_client_++};
  clients_[id] = std::make_unique<Client>(*this, id, socket);
}

void Front::turn_away(const Poco::Net::StreamSocket& socket) {
  auto wire = std::make_unique<Wire>(loop_, socket, nobody_);
  std::string out;
  append_response(out, 503, "", R"({"abort":"TryLater"})", false);
  wire->send(out);
  loop_.finish(std::move(wire));
}

// Guards against calls that are never whole, many at once: the largest goes where all together hold too much.
void Front::shed_unread() {
  std::size_t held = statement_bytes_;
  Client* largest = nullptr;
  for (const auto& [id, client] : clients_) {
    held += client->held();
    if (client->useless() && (!largest || client->held() > largest->held())) largest = client.get();
  }
  if (held <= most_unread_ || !largest || largest->held() == 0) return;
  ++counters_.shed;
  largest->end_with(503, "too much is unread");
}

void Front::drop(Client& client) {
  const auto it = clients_.find(client.id());
  if (it == clients_.end()) return;
  if (const auto id = std::exchange(client.may_call, std::nullopt)) left_alone(*id);
  gone_.push_back(std::move(it->second));
  clients_.erase(it);
  loop_.soon([this] {
    for (auto& one : gone_) {
      if (one->wire().closed()) loop_.retire(one->give_wire());
      else loop_.finish(one->give_wire());
    }
    gone_.clear();
  });
}

void Front::client_left(Client& client) {
  const std::optional<JobId> id = client.waits_for;
  client.waits_for.reset();
  drop(client);
  if (!id) return;
  const auto it = jobs_.find(*id);
  if (it == jobs_.end()) return;
  it->second.caller.reset();
  if (it->second.answered) return;
  if (it->second.has_path) return left_alone(*id);  // it may call the path again
  settle_account(*id, it->second);
  ++counters_.withdrawn;
  manager_.job_withdrawn(loop_.now(), *id);
  forget_if_done(*id);
}

// Guards against dispatches for clients that have gone: what has not left for an engine is taken back.
void Front::lose_sight(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered) return;
  manager_.caller_left(loop_.now(), id);
  for (const Sent& sent : it->second.out) engines_.take_back({id, sent.number}, Outcome::never_sent);
}

void Front::left_alone(JobId id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && !it->second.caller) lose_sight(id);
}

bool Front::idle() const {
  if (owed_ > 0) return false;
  const Span now = loop_.now();
  return std::ranges::none_of(jobs_, [&](const auto& one) {
    const OpenJob& job = one.second;
    return job.status != 0 && !job.fetched && now - job.answered_at <= long_enough_to_call_again;
  });
}

bool Front::all_written() const {
  return loop_.all_written() &&
         std::ranges::all_of(clients_, [](const auto& one) { return one.second->wire().waiting() == 0; });
}

void Front::respond(ClientId id, int status, std::string_view headers, std::string_view body) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = *it->second;
  client.waits_for.reset();
  std::string out;
  // A client that is given a path calls it on the same connection.
  const bool keep =
      client.http().keeps_alive() && ((!sending_home_ && !away_) || body.starts_with("{\"link\""));
  append_response(out, status, headers, body, keep);
  client.wire().send(out);
  if (!keep) return drop(client);
  // Later, since a further call may wait there, and the module may be at work on this one.
  loop_.soon([this, id] {
    if (const auto at = clients_.find(id); at != clients_.end()) at->second->answered();
  });
}

std::optional<JobId> Front::job_of_path(std::string_view path) const {
  if (!path.starts_with(job_path)) return std::nullopt;
  const auto number = hex_in(path.substr(job_path.size()));
  if (!number || !jobs_.contains(JobId{*number})) return std::nullopt;
  return JobId{*number};
}

void Front::called(Client& client, const std::string& method, const std::string& path, Message& message) {
  const std::string_view whole(path);
  const auto promised = std::exchange(client.may_call, std::nullopt);
  if (promised && job_of_path(whole) != promised) left_alone(*promised);
  if (whole == "/check") {
    const bool up = ready_ && !away_;
    return respond(client.id(), up ? 200 : 503, "", up ? R"({"up":true})" : R"({"up":false})");
  }
  if (whole == "/counters" && method == "GET") return respond(client.id(), 200, "", counters_now());
  if (whole.starts_with(work_path)) {
    if (method == "POST")
      return take_job(client, percent_decoded(whole.substr(whole.rfind('/') + 1)), message);
    ++counters_.bad_calls;
    return respond(client.id(), 405, "", fault("work is posted"));
  }
  const std::optional<JobId> id = job_of_path(whole);
  if (!id || (method != "GET" && method != "DELETE")) {
    ++counters_.bad_calls;
    return respond(client.id(), id ? 405 : 404, "", fault("nothing is here"));
  }
  OpenJob& job = jobs_.at(*id);
  if (method == "DELETE") {
    if (job.caller) respond(*job.caller, 404, "", fault("withdrawn"));
    job.caller.reset();
    const bool open = !job.answered;
    settle_account(*id, job), job.status = 0;
    respond(client.id(), 200, "", "{}");
    if (open) {
      ++counters_.withdrawn;
      manager_.job_withdrawn(loop_.now(), *id);
    }
    return forget_if_done(*id);
  }
  ++counters_.fetched_again;
  if (job.caller) {  // the connection that the client left has not been seen to end yet
    const auto old = clients_.find(*job.caller);
    if (old != clients_.end()) old->second->waits_for.reset(), drop(*old->second);
  }
  job.caller = client.id();
  client.waits_for = *id;
  if (job.answered) {
    job.caller.reset();
    if (job.status == 0) return respond(client.id(), 404, "", fault("withdrawn"));
    job.fetched = true;
    respond(client.id(), job.status, job.headers, job.body);
    forget_answer_at(loop_.now() + long_enough_to_call_again, *id);
    return;
  }
  manager_.caller_came(loop_.now(), *id);
}

// ---- Jobs ----

void Front::take_job(Client& client, std::string_view kind, Message& message) {
  const Span now = loop_.now();
  const TypeId type = deployment_.type(service::plain_name(std::string(kind)));
  const auto bad = [&](int status, std::string_view what) {
    ++counters_.bad_calls;
    PEARCHUTE_LOG(spdlog::level::warn, "a job is not taken: {}", what);
    respond(client.id(), status, "", fault(what));
  };
  if (type.value < 0) return bad(404, "no such reservation type");
  const auto id = hex_in(message.header("x-request-id"));
  if (!id) return bad(400, "X-Request-Id is not 16 hex digits");
  // Figures that no client can mean: patience of over twice the type's, more work than the largest machine
  // does in that time, or several times its memory. One of them would spoil the means of all other jobs.
  const ReservationType& traits = deployment_.service.types[static_cast<std::size_t>(type.value)];
  const double longest = 2e-3 * static_cast<double>(traits.job_timeout.count());
  const auto patience = number_in(message.header("x-timeout-ms"));
  if (!patience || *patience <= 0 || *patience > longest) return bad(400, "X-Timeout-Ms is not usable");
  Job job;
  job.id = JobId{*id};
  job.type = type;
  job.customer = deployment_.customer(service::plain_name(std::string(message.header("x-tenant"))));
  job.time_left = Span(static_cast<Span::rep>(*patience * 1000));
  const auto estimate = [&](const char* name, std::optional<double>& value, double most) {
    const std::string_view text = message.header(name);
    if (text.empty()) return true;
    const auto number = number_in(text);
    if (!number || *number < 0 || *number > most) return false;
    if (*number > 0) value = *number;
    return true;
  };
  // Where the settings tell of no machines, or not of their memory, any figure may be meant.
  constexpr double any = std::numeric_limits<double>::max();
  MachineKind largest{.cores = 0};
  for (const MachineKind& one : deployment_.service.kinds) {
    largest.cores = std::max(largest.cores, one.cores);
    largest.memory_mb = std::max(largest.memory_mb, one.memory_mb);
  }
  if (!estimate("x-cost-ms", job.work_ms, largest.cores > 0 ? longest * largest.cores : any))
    return bad(400, "X-Cost-Ms is not usable");
  if (!estimate("x-est-mb", job.memory_mb, largest.memory_mb > 0 ? 4 * largest.memory_mb : any))
    return bad(400, "X-Est-Mb is not usable");
  if (const std::string_view key = message.header("x-object"); !key.empty()) {
    const auto number = hex_in(key);
    if (!number) return bad(400, "X-Object is not 16 hex digits");
    job.key = OrderKey{*number};
  }
  const std::string_view token = message.header("idempotency-key");
  if (!token_fits(token) || (traits.effect == Effect::keyed && token.empty()))
    return bad(400, "Idempotency-Key is not usable");
  if (!is_statement(message.body)) return bad(400, "the body is no statement");
  if (jobs_.contains(job.id)) return bad(409, "this request is being served");
  // A connection's last job may not be forgotten yet when its next one comes: a few over the limit are taken.
  if (closing_ || away_ || owed_ >= 2 * static_cast<std::size_t>(deployment_.service.most_open) ||
      statement_bytes_ + message.body.size() > most_unread_) {
    ++counters_.throttled;
    const Span advice =
        deployment_.service.takes_retry_advice ? deployment_.service.longest_retry_advice : Span(0);
    return respond(client.id(), 503, come_back_in(advice), R"({"abort":"TryLater"})");
  }
  job.data_set = DataSetId{table_group(message.body).value_or(0)};
  ++counters_.jobs, ++owed_;
  OpenJob& open = jobs_[job.id];
  open.id = message.header("x-request-id");
  open.kind = kind;
  std::ranges::replace(open.kind, ',', '_');  // it goes on in a list that commas set apart
  open.token = token;
  open.statement = std::move(message.body);
  statement_bytes_ += open.statement.size();
  open.taken = now, open.end = now + job.time_left;
  open.caller = client.id();
  client.waits_for = job.id;
  manager_.job_taken(now, job);
  // Guards long jobs against the loss of their connection: with a path, the client can call again.
  constexpr milliseconds long_hold(2000);  // most jobs are over by then, without a call more
  if (job.time_left > long_hold) loop_.at(now + long_hold, [this, id = job.id] { give_path(id); });
}

void Front::give_path(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered || it->second.has_path || !it->second.caller) return;
  OpenJob& job = it->second;
  job.has_path = true;
  const ClientId caller = *job.caller;
  job.caller.reset();
  respond(caller, 200, "", "{\"link\":\"" + std::string(job_path) + job.id + "\"}");
  forget_answer_at(job.end + milliseconds(100), id);
  if (const auto at = clients_.find(caller); at != clients_.end()) at->second->may_call = id;
  else left_alone(id);
}

void Front::forget_answer_at(Span when, JobId id) {
  loop_.at(when, [this, id] {
    const auto at = jobs_.find(id);
    if (at == jobs_.end() || !at->second.answered) return;
    at->second.status = 0;
    forget_if_done(id);
  });
}

void Front::answer(JobId id, OpenJob& job, int status, std::string headers, std::string body) {
  if (job.answered) return;
  settle_account(id, job);
  job.answered_at = loop_.now();
  if (const Span late = loop_.now() - job.end; late > Span(0)) {
    PEARCHUTE_LOG(spdlog::level::warn, "job {} is answered {} ms after its end", job.id, late.count() / 1000);
  }
  if (job.caller) {
    job.fetched = true;
    respond(*job.caller, status, headers, body);
    if (job.has_path) forget_answer_at(loop_.now() + long_enough_to_call_again, id);
  }
  job.caller.reset();
  // Kept a while where the client has a path: should its connection break, it calls that again.
  if (job.has_path) job.status = status, job.headers = std::move(headers), job.body = std::move(body);
  // The module may still be at work on it.
  loop_.soon([this, id] { forget_if_done(id); });
}

void Front::forget_if_done(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const OpenJob& job = it->second;
  if (job.answered && job.status == 0 && job.out.empty()) jobs_.erase(it);
}

void Front::send_home() {
  if (sending_home_) return;
  sending_home_ = true;
  std::vector<Client*> idle;
  for (const auto& [id, client] : clients_) {
    if (client->useless() && !client->http().within_call()) idle.push_back(client.get());
  }
  for (Client* client : idle) drop(*client);
}

void Front::answer_all() {
  if (closing_) return;
  closing_ = true;
  manager_.closing(loop_.now());
}

// ---- What the module does ----

void Front::set_terms(JobId id, double grant_mb, int priority) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  job.grant_mb = grant_mb;
  if (priority == job.priority) return;
  job.priority = priority;
  for (const Sent& sent : job.out) engines_.hurry({id, sent.number}, priority);
}

void Front::dispatch(JobId id, EngineId engine, Span time_limit) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  const DispatchKey key{id, job.dispatches++};
  const Span now = loop_.now();
  const Span end = time_limit > Span(0) ? std::min(job.end, now + time_limit) : job.end;
  job.out.push_back({key.number, now, engine});
  if (job.answered || sending_nothing_ || end <= now || key.number >= deployment_.service.most_dispatches) {
    loop_.soon([this, key] { talk_ended(key, Outcome::never_sent, {}); });
    return;
  }
  Want want;
  want.id = job.id, want.kind = job.kind, want.token = job.token, want.statement = job.statement;
  want.wait_ms = std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(end - now).count());
  want.grant_mb = static_cast<std::int64_t>(std::ceil(job.grant_mb));
  want.priority = job.priority;
  engines_.want(engine, key, want);
  loop_.at(end, [this, key] {
    const auto at = jobs_.find(key.job);
    if (at == jobs_.end()) return;
    if (std::ranges::none_of(at->second.out, [&](const Sent& s) { return s.number == key.number; })) return;
    engines_.never_mind(key);
    talk_ended(key, Outcome::timed_out, {});
  });
}

void Front::stop_dispatch(JobId id, int number) { engines_.never_mind({id, number}); }

void Front::throttle(JobId id, Span span) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered) return;
  ++counters_.throttled;
  answer(id, it->second, 503, come_back_in(span), R"({"abort":"TryLater"})");
}

void Front::cancel_for_good(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered) return;
  ++counters_.cancelled;
  answer(id, it->second, 500, "", R"({"abort":"Aborted"})");
}

void Front::wake_in(Span span, std::uint64_t mark) {
  loop_.at(loop_.now() + span, [this, mark] { manager_.woken(loop_.now(), mark); });
}

// Engines of this protocol tell nothing of their load; settings that ask for probes are not for this front.
void Front::probe(EngineId engine) {
  loop_.soon([this, engine] { manager_.probe_ended(loop_.now(), engine, Outcome::never_sent, Span(0), {}); });
}

void Front::remark(std::string_view text) {
  PEARCHUTE_LOG(spdlog::level::info, "{}", text);
  if (remarked_) remarked_(text);
}

// ---- For those who ask ----

void Front::tell_jobs(std::size_t most, const std::function<void(const JobSeen&)>& visit) {
  std::vector<std::pair<Span, JobId>> oldest;
  for (const auto& [id, job] : jobs_) {
    if (!job.answered) oldest.emplace_back(job.taken, id);
  }
  const std::size_t told = std::min(most, oldest.size());
  std::partial_sort(oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(told), oldest.end());
  const Span now = loop_.now();
  for (std::size_t i = 0; i < told; ++i) {
    const OpenJob& job = jobs_.at(oldest[i].second);
    JobSeen seen{job.id, job.kind, now - job.taken, job.end - now, job.dispatches, {}, {}};
    for (const Sent& sent : job.out) seen.out.push_back(sent.engine);
    seen.waits = manager_.waits_for(now, oldest[i].second);
    visit(seen);
  }
}

std::map<WorkloadManager::Waits, std::size_t> Front::tell_waits() {
  std::map<WorkloadManager::Waits, std::size_t> waits;
  std::size_t left = 4000;  // under a millisecond
  for (const auto& [id, job] : jobs_) {
    if (left-- == 0) break;
    if (const auto what = manager_.waits_for(loop_.now(), id); what != WorkloadManager::Waits::nothing)
      ++waits[what];
  }
  return waits;
}

void Front::tell_engines(const std::function<void(const Engine&, const WorkloadManager::Belief&,
                                                  const Engines::Shown&, Span)>& visit) const {
  const Span now = loop_.now();
  std::map<EngineId, Span> oldest;
  for (const auto& [id, job] : jobs_) {
    for (const Sent& sent : job.out) {
      Span& since = oldest[sent.engine];
      since = std::max(since, now - sent.at);
    }
  }
  manager_.tell_engines(now, [&](const Engine& engine, const WorkloadManager::Belief& belief) {
    const auto at = oldest.find(engine.listed.id);
    visit(engine, belief, engines_.shown(engine.listed.id), at == oldest.end() ? Span(0) : at->second);
  });
}

// ---- What engines and the list tell ----

void Front::talk_ended(DispatchKey key, Outcome outcome, std::vector<std::string> pages) {
  const auto it = jobs_.find(key.job);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  const auto sent = std::ranges::find(job.out, key.number, &Sent::number);
  if (sent == job.out.end()) return;
  const Span now = loop_.now(), elapsed = now - sent->at;
  job.out.erase(sent);
  if (outcome == Outcome::done && !job.answered) {
    if (auto body = rows_as_json(pages)) {
      ++counters_.done;
      answer(key.job, job, 200, "", std::move(*body));
    } else {
      PEARCHUTE_LOG(spdlog::level::warn, "a result of job {} is not whole rows", job.id);
      outcome = Outcome::error;
    }
  }
  ++counters_.ends[static_cast<int>(outcome)];
  manager_.dispatch_ended(now, key.job, key.number, outcome, elapsed, outcome == Outcome::done, std::nullopt,
                          std::nullopt, {});
  forget_if_done(key.job);
}

void Front::talk_progress(DispatchKey key, double share_done) {
  ++counters_.notes;
  manager_.progress_told(loop_.now(), key.job, key.number, share_done);
}

void Front::talk_spill(DispatchKey key, double missing_mb) {
  ++counters_.notes;
  manager_.spill_told(loop_.now(), key.job, key.number, missing_mb);
}

void Front::talk_wait(DispatchKey key, Wait wait) {
  ++counters_.notes;
  manager_.wait_told(loop_.now(), key.job, key.number, wait);
}

void Front::list_changed(ListNews news, const std::vector<Member>& members) {
  std::vector<ListedEngine> engines;
  std::set<EngineId> listed;
  for (const Member& member : members) {
    engines.push_back(member.engine);
    if (member.engine.state == EngineState::gone) continue;
    listed.insert(member.engine.id);
    if (!member.address.empty()) engines_.place(member.engine.id, member.address);
  }
  manager_.list_came(loop_.now(), news, engines);
  // Only now, so that what ends by it is not sent there again.
  if (news != ListNews::changes) engines_.forget_others(listed);
  for (const ListedEngine& engine : engines) {
    if (engine.state == EngineState::gone) engines_.forget(engine.id);
  }
}

void Front::sweep() {
  const Span now = loop_.now();
  std::vector<std::pair<Client*, int>> overdue;
  for (const auto& [id, client] : clients_) {
    if (const auto status = client->overdue(now)) overdue.emplace_back(client.get(), *status);
  }
  for (const auto& [client, status] : overdue) {
    if (status > 0) client->end_with(status, "the call is not whole in time");
    else if (client->useless()) drop(*client);
    else client->wire().close(), client_left(*client);
  }
  loop_.at(now + milliseconds(200), [this] { sweep(); });
}

}  // namespace pearchute::net
