#include "session.h"

#include <algorithm>
#include <istream>
#include <ostream>

#include "core/control.h"
#include "service/deployment.h"

namespace pearchute::drill {

namespace {

using service::Malformed;
using service::number_in;
using service::one_of;
using service::split;

Outcome outcome_of(std::string_view word) {
  return one_of<Outcome>("stateCode", word,
                         {{"OK", Outcome::succeeded},
                          {"INTERNAL", Outcome::engine_error},
                          {"RESOURCE_EXHAUSTED", Outcome::engine_full},
                          {"DEADLINE_EXCEEDED", Outcome::timed_out},
                          {"UNAVAILABLE", Outcome::unreachable},
                          {"ABORTED", Outcome::connection_reset},
                          {"CANCELLED", Outcome::cancelled},
                          {"TOO_LATE", Outcome::not_sent}});
}

LoadReport report_of(const Fields& fields) {
  LoadReport report;
  const auto usage = fields.text("usage");
  if (!usage || usage->empty()) return report;
  for (const std::string_view part : split(*usage, ',')) {
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos)
      throw Malformed("'usage' has '" + std::string(part) + "', not name:value");
    const std::string_view name = part.substr(0, colon);
    const double value = number_in(name, part.substr(colon + 1));
    if (name == "outstanding") report.outstanding = value;
    if (name == "backlog") report.backlog = value;
    if (name == "x0") report.memory_share = value;
    if (name == "x1") report.disk_share = value;
  }
  return report;
}

}  // namespace

// One workload manager and its DecisionSink; the names of its settings become positions and back.
class Instance final : public DecisionSink {
 public:
  Instance(Session& session, std::int64_t number, const Fields& fields)
      : session_(session),
        number_(number),
        start_(session.clock_),
        deployment_(service::decode(fields.values())) {
    manager_ = std::make_unique<WorkloadManager>(
        deployment_.service, static_cast<std::uint64_t>(fields.required_whole("nonce64")), *this);
  }

  WorkloadManager& manager() { return *manager_; }
  TimePoint now() const { return TimePoint(session_.clock_ - start_); }
  Duration start() const { return start_; }
  const service::Deployment& deployment() const { return deployment_; }
  RequestTypeId type(std::string_view name) const {
    const RequestTypeId type = deployment_.type(name);
    if (type.value < 0)
      throw Malformed("'type' is '" + std::string(name) + "', which the settings do not name");
    return type;
  }

  void dispatch(RequestId job, EngineId engine, Duration time_limit) override {
    begin("TRANSMIT").add("handle", job.value).add("engine", engine.value);
    if (time_limit > Duration(0)) add("giveUpAfter", time_limit.count());
    end();
  }
  void set_execution_terms(RequestId job, double grant_mb, int priority) override {
    begin("ASSIGN_TERMS")
        .add("handle", job.value)
        .add("memoryGrant", grant_mb)
        .add("weightClass", priority)
        .end();
  }
  void cancel_attempt(RequestId job, int number) override {
    begin("STOP_ATTEMPT").add("handle", job.value).add("copy", number).end();
  }
  void throttle(RequestId job, Duration come_back_in) override {
    begin("REJECT").add("handle", job.value);
    if (come_back_in > Duration(0)) add("retryIn", come_back_in.count());
    end();
  }
  void fail(RequestId job) override { begin("END_FAILED").add("handle", job.value).end(); }
  void schedule_wakeup(Duration span, std::uint64_t mark) override {
    begin("NOTIFY_ME").add("in", span.count()).add("mark", mark).end();
  }
  void probe(EngineId engine) override { begin("PROBE").add("engine", engine.value).end(); }
  void subscribe_endpoints() override { begin("TRACK").add("on", 1).end(); }
  void trace_event(std::string_view text) override { begin("REMARK").add("noteText", text).end(); }

 private:
  Instance& begin(std::string_view action) {
    std::string& reply = session_.reply_;
    if (session_.reply_for_ != number_) {
      reply.append("BY\tmanager=").append(std::to_string(number_)).append("\n");
      session_.reply_for_ = number_;
    }
    reply.append(action);
    return *this;
  }
  Instance& add(std::string_view name, std::string_view value) {
    session_.reply_.append("\t").append(name).append("=").append(value);
    return *this;
  }
  template <class Number>
  Instance& add(std::string_view name, Number value) {
    return add(name, std::string_view(std::to_string(value)));
  }
  void end() { session_.reply_.append("\n"); }

  Session& session_;
  std::int64_t number_;
  Duration start_;
  service::Deployment deployment_;
  std::unique_ptr<WorkloadManager> manager_;
};

Session::Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
Session::~Session() = default;

bool Session::next_line() {
  if (!std::getline(in_, line_)) return false;
  ++line_number_;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

void Session::run() {
  bool in_batch = false;
  try {
    while (next_line()) {
      if (line_.empty()) continue;
      fields_.read(line_);
      if (fields_.message() == "MARK") {
        if (in_batch) throw Malformed("MARK before the END of the last batch");
        const Duration clock(fields_.required_whole("simTime"));
        if (clock < clock_) throw Malformed("the clock goes back");
        clock_ = clock;
        in_batch = true;
        addressed_.reset();
        reply_for_.reset();
        reply_.clear();
      } else if (!in_batch) {
        throw Malformed("'" + std::string(fields_.message()) + "' outside a batch");
      } else if (fields_.message() == "END") {
        in_batch = false;
        reply_.append("ACK\n");
        out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
        out_.flush();
        if (!out_) throw SystemError("the reply could not be written");
      } else {
        serve_line();
      }
    }
    if (in_batch) throw Malformed("the input ended within a batch");
  } catch (const Malformed& error) {
    throw Malformed::within("line " + std::to_string(line_number_), error);
  }
}

void Session::serve_line() {
  const std::string_view message = fields_.message();
  if (message == "AT") {
    addressed_ = fields_.required_whole("manager");
  } else if (message == "POOL") {
    read_pool();
  } else if (!addressed_) {
    throw Malformed("'" + std::string(message) + "' before any AT");
  } else if (message == "LAUNCH") {
    launch();
  } else {
    const auto it = instances_.find(*addressed_);
    if (it == instances_.end()) {
      throw Malformed("manager " + std::to_string(*addressed_) + " has not been launched");
    }
    if (message == "CRASH_NOW") {
      instances_.erase(it);
    } else {
      decode_event(*it->second, message);
    }
  }
}

void Session::launch() {
  instances_.erase(*addressed_);
  instances_[*addressed_] = std::make_unique<Instance>(*this, *addressed_, fields_);
}

void Session::read_pool() {
  const std::int64_t bank = fields_.required_whole("bank");
  const std::int64_t rows = fields_.required_whole("rows");
  std::vector<PoolEntry> entries;
  for (std::int64_t i = 0; i < rows; ++i) {
    if (!next_line()) throw Malformed("the input ended within a POOL");
    fields_.read(line_);
    if (fields_.message() != "ENTRY")
      throw Malformed("ENTRY wanted, not '" + std::string(fields_.message()) + "'");
    PoolEntry& entry = entries.emplace_back();
    entry.engine.id = EngineId{static_cast<std::uint32_t>(fields_.required_whole("engine"))};
    entry.engine.state = one_of<EngineState>(
        "mode", fields_.text("mode").value_or("up"),
        {{"up", EngineState::up}, {"draining", EngineState::draining}, {"removed", EngineState::removed}});
    entry.engine.cell = CellId{fields_.whole("unitGroup").value_or(0)};
    entry.zone = fields_.text("failureDomain").value_or("");
    entry.kind = fields_.text("familyType").value_or("");
    entry.started_at = fields_.whole("onlineSince");
  }
  pools_[bank] = std::move(entries);
}

void Session::decode_event(Instance& instance, std::string_view message) {
  WorkloadManager& manager = instance.manager();
  const TimePoint now = instance.now();
  const auto job = [&] { return RequestId{static_cast<std::uint64_t>(fields_.required_whole("handle"))}; };
  const auto copy = [&] {
    const std::int64_t number = fields_.required_whole("copy");
    if (number < 0 || number > 1'000'000) throw Malformed("'copy' is out of range");
    return static_cast<int>(number);
  };
  const auto elapsed = [&] { return Duration(fields_.whole("elapsed").value_or(0)); };

  if (message == "REQ") {
    Request taken;
    taken.id = job();
    taken.type = instance.type(fields_.required_text("type"));
    taken.tenant = instance.deployment().tenant(fields_.text("party").value_or(""));
    if (const auto key = fields_.whole("target")) taken.key = OrderKey{static_cast<std::uint64_t>(*key)};
    taken.time_left = Duration(fields_.required_whole("expiresIn"));
    const std::int64_t flags = fields_.whole("flags").value_or(0);
    if (const auto work = fields_.number("guess"); work && *work > 0 && (flags & 1))
      taken.work_ms = *work / 1000;
    if (const auto need = fields_.number("needMb"); need && *need > 0) taken.memory_mb = *need;
    taken.data_set = DataSetId{static_cast<std::int64_t>(fields_.number("sourceSet").value_or(0))};
    manager.on_request(now, taken);
  } else if (message == "ANSWER") {
    std::optional<double> work, memory;
    if (const std::int64_t bill = fields_.whole("bill").value_or(0); bill > 0) {
      work = static_cast<double>(bill / 4096);
      memory = static_cast<double>(bill % 4096) * 4;
    }
    manager.on_attempt_ended(now, job(), copy(), outcome_of(fields_.required_text("stateCode")), elapsed(),
                             fields_.flag("finished"), work, memory, report_of(fields_));
  } else if (message == "WAKE") {
    manager.on_wakeup(now, static_cast<std::uint64_t>(fields_.required_whole("mark")));
  } else if (message == "NOTE") {
    const std::int64_t kind = fields_.required_whole("kind");
    const double amount = fields_.number("amount").value_or(0);
    if (kind == 1) manager.on_progress(now, job(), copy(), amount);
    else if (kind == 2) manager.on_spill(now, job(), copy(), amount);
    else if (kind == 3)
      manager.on_engine_wait(now, job(), copy(), amount == 2 ? WaitCause::data_load : WaitCause::memory);
    else throw Malformed("'kind' is not 1, 2 or 3");
  } else if (message == "MEMBERSHIP") {
    const std::string_view mode = fields_.required_text("mode");
    if (mode == "refused") return manager.on_endpoints_refused(now);
    const EndpointUpdate news = one_of<EndpointUpdate>("mode", mode,
                                                       {{"changes", EndpointUpdate::delta},
                                                        {"all", EndpointUpdate::snapshot},
                                                        {"remembered", EndpointUpdate::cached}});
    const std::int64_t bank = fields_.required_whole("bank");
    const auto pool = pools_.find(bank);
    if (pool == pools_.end()) throw Malformed("list " + std::to_string(bank) + " has not been given");
    std::vector<EngineEndpoint> engines;
    for (const PoolEntry& entry : pool->second) {
      EngineEndpoint& engine = engines.emplace_back(entry.engine);
      engine.zone = instance.deployment().zone(entry.zone);
      engine.kind = instance.deployment().kind(entry.kind);
      if (entry.started_at && *entry.started_at > 0)
        engine.started_at = TimePoint(Duration(*entry.started_at) - instance.start());
    }
    manager.on_endpoint_update(now, news, engines);
  } else if (message == "PING_RESULT") {
    manager.on_probe_ended(now, EngineId{static_cast<std::uint32_t>(fields_.required_whole("engine"))},
                           outcome_of(fields_.required_text("stateCode")), elapsed(), report_of(fields_));
  } else if (message == "STREAMING") {
    manager.on_stream_started(now, job(), copy());
  } else if (message == "WITHDRAWN") {
    manager.on_request_cancelled(now, job());
  } else if (message != "DATAGRAM") {  // managers have nothing to say to each other
    throw Malformed("'" + std::string(message) + "' is not a message of this wire");
  }
}

}  // namespace pearchute::drill
