#include "simulator_adapter/session.h"

#include <algorithm>
#include <istream>
#include <ostream>

#include "core/workload_manager.h"
#include "service/deployment.h"

namespace pearchute::simulator_adapter {

namespace {

using service::Malformed;
using service::number_in;
using service::one_of;
using service::split;

Outcome outcome_of(std::string_view state_code) {
  return one_of<Outcome>("stateCode", state_code,
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
      throw Malformed("'usage' contains '" + std::string(part) + "'; expected name:value");
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

// One workload manager with its DecisionSink, which writes the decisions into the reply of the session.
class ManagerInstance final : public DecisionSink {
 public:
  ManagerInstance(Session& session, std::int64_t number, const Fields& fields)
      : session_(session),
        number_(number),
        start_(session.clock_),
        deployment_(service::decode(fields.values())) {
    manager_ = std::make_unique<WorkloadManager>(
        deployment_.service, static_cast<std::uint64_t>(fields.required_integer("nonce64")), *this);
  }

  WorkloadManager& manager() { return *manager_; }
  // The time since the launch, which is the clock of the manager.
  TimePoint now() const { return TimePoint(session_.clock_ - start_); }
  Duration start() const { return start_; }
  const service::Deployment& deployment() const { return deployment_; }
  RequestTypeId type(std::string_view name) const {
    const RequestTypeId type = deployment_.type(name);
    if (type.value < 0) throw Malformed("unknown request type '" + std::string(name) + "' in 'type'");
    return type;
  }

  void dispatch(RequestId request, EngineId engine, Duration time_limit) override {
    begin("TRANSMIT").add("handle", request.value).add("engine", engine.value);
    if (time_limit > Duration(0)) add("giveUpAfter", time_limit.count());
    end();
  }
  void set_execution_terms(RequestId request, double grant_mb, int priority) override {
    begin("ASSIGN_TERMS")
        .add("handle", request.value)
        .add("memoryGrant", grant_mb)
        .add("weightClass", priority)
        .end();
  }
  void cancel_attempt(RequestId request, int attempt_index) override {
    begin("STOP_ATTEMPT").add("handle", request.value).add("copy", attempt_index).end();
  }
  void throttle(RequestId request, Duration retry_after) override {
    begin("REJECT").add("handle", request.value);
    if (retry_after > Duration(0)) add("retryIn", retry_after.count());
    end();
  }
  void fail(RequestId request) override { begin("END_FAILED").add("handle", request.value).end(); }
  void schedule_wakeup(Duration delay, std::uint64_t token) override {
    begin("NOTIFY_ME").add("in", delay.count()).add("mark", token).end();
  }
  void probe(EngineId engine) override { begin("PROBE").add("engine", engine.value).end(); }
  void subscribe_endpoints() override { begin("TRACK").add("on", 1).end(); }
  void trace_event(std::string_view text) override { begin("REMARK").add("noteText", text).end(); }

 private:
  // Begins a line of the reply; a line that names the manager precedes it where the previous line was
  // another's.
  ManagerInstance& begin(std::string_view action) {
    std::string& reply = session_.reply_;
    if (session_.reply_manager_ != number_) {
      reply.append("BY\tmanager=").append(std::to_string(number_)).append("\n");
      session_.reply_manager_ = number_;
    }
    reply.append(action);
    return *this;
  }
  ManagerInstance& add(std::string_view name, std::string_view value) {
    session_.reply_.append("\t").append(name).append("=").append(value);
    return *this;
  }
  template <class Number>
  ManagerInstance& add(std::string_view name, Number value) {
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
        const Duration clock(fields_.required_integer("simTime"));
        if (clock < clock_)
          throw Malformed("simTime goes back from " + std::to_string(clock_.count()) + " to " +
                          std::to_string(clock.count()));
        clock_ = clock;
        in_batch = true;
        addressed_manager_.reset();
        reply_manager_.reset();
        reply_.clear();
      } else if (!in_batch) {
        throw Malformed("'" + std::string(fields_.message()) + "' outside a batch");
      } else if (fields_.message() == "END") {
        in_batch = false;
        reply_.append("ACK\n");
        out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
        out_.flush();
        if (!out_) throw SystemError("cannot write the reply");
      } else {
        process_line();
      }
    }
    if (in_batch) throw Malformed("the input ended within a batch");
  } catch (const Malformed& error) {
    throw Malformed::within("line " + std::to_string(line_number_), error);
  }
}

void Session::process_line() {
  const std::string_view message = fields_.message();
  if (message == "AT") {
    addressed_manager_ = fields_.required_integer("manager");
  } else if (message == "POOL") {
    read_endpoint_list();
  } else if (!addressed_manager_) {
    throw Malformed("'" + std::string(message) + "' before any AT");
  } else if (message == "LAUNCH") {
    launch_manager();
  } else {
    const auto it = managers_.find(*addressed_manager_);
    if (it == managers_.end()) {
      throw Malformed("manager " + std::to_string(*addressed_manager_) + " has not been launched");
    }
    if (message == "CRASH_NOW") {
      managers_.erase(it);
    } else {
      decode_event(*it->second, message);
    }
  }
}

void Session::launch_manager() {
  managers_.erase(*addressed_manager_);
  managers_[*addressed_manager_] = std::make_unique<ManagerInstance>(*this, *addressed_manager_, fields_);
}

void Session::read_endpoint_list() {
  const std::int64_t bank = fields_.required_integer("bank");
  const std::int64_t rows = fields_.required_integer("rows");
  std::vector<ListedEngine> engines;
  for (std::int64_t i = 0; i < rows; ++i) {
    if (!next_line()) throw Malformed("the input ended within a POOL");
    fields_.read(line_);
    if (fields_.message() != "ENTRY")
      throw Malformed("expected ENTRY, got '" + std::string(fields_.message()) + "'");
    ListedEngine& listed = engines.emplace_back();
    listed.engine.id = EngineId{static_cast<std::uint32_t>(fields_.required_integer("engine"))};
    listed.engine.state = one_of<EngineState>(
        "mode", fields_.text("mode").value_or("up"),
        {{"up", EngineState::up}, {"draining", EngineState::draining}, {"removed", EngineState::removed}});
    listed.engine.cell = CellId{fields_.integer("unitGroup").value_or(0)};
    listed.zone = fields_.text("failureDomain").value_or("");
    listed.kind = fields_.text("familyType").value_or("");
    listed.started_at = fields_.integer("onlineSince");
  }
  endpoint_lists_[bank] = std::move(engines);
}

// NOLINTNEXTLINE(readability-function-*): one case per message
void Session::decode_event(ManagerInstance& instance, std::string_view message) {
  WorkloadManager& manager = instance.manager();
  const TimePoint now = instance.now();
  const auto request = [&] {
    return RequestId{static_cast<std::uint64_t>(fields_.required_integer("handle"))};
  };
  const auto attempt_index = [&] {
    const std::int64_t number = fields_.required_integer("copy");
    if (number < 0 || number > 1'000'000)
      throw Malformed("'copy' must be from 0 to 1000000, got " + std::to_string(number));
    return static_cast<int>(number);
  };
  const auto elapsed = [&] { return Duration(fields_.integer("elapsed").value_or(0)); };

  if (message == "REQ") {
    Request received;
    received.id = request();
    received.type = instance.type(fields_.required_text("type"));
    received.tenant = instance.deployment().tenant(fields_.text("party").value_or(""));
    if (const auto key = fields_.integer("target")) received.key = OrderKey{static_cast<std::uint64_t>(*key)};
    received.time_left = Duration(fields_.required_integer("expiresIn"));
    const std::int64_t flags = fields_.integer("flags").value_or(0);
    if (const auto work = fields_.number("guess"); work && *work > 0 && (flags & 1))
      received.work_ms = *work / 1000;
    if (const auto need = fields_.number("needMb"); need && *need > 0) received.memory_mb = *need;
    received.data_set = DataSetId{static_cast<std::int64_t>(fields_.number("sourceSet").value_or(0))};
    manager.on_request(now, received);
  } else if (message == "ANSWER") {
    std::optional<double> work, memory;
    if (const std::int64_t bill = fields_.integer("bill").value_or(0); bill > 0) {
      // One integer holds the work in ms and, in the low 12 bits, the memory in units of 4 MB.
      // NOLINTNEXTLINE(bugprone-integer-division)
      work = static_cast<double>(bill / 4096);
      memory = static_cast<double>(bill % 4096) * 4;
    }
    manager.on_attempt_ended(now, request(), attempt_index(), outcome_of(fields_.required_text("stateCode")),
                             elapsed(), fields_.flag("finished"), work, memory, report_of(fields_));
  } else if (message == "WAKE") {
    manager.on_wakeup(now, static_cast<std::uint64_t>(fields_.required_integer("mark")));
  } else if (message == "NOTE") {
    const std::int64_t kind = fields_.required_integer("kind");
    const double amount = fields_.number("amount").value_or(0);
    if (kind == 1) manager.on_progress(now, request(), attempt_index(), amount);
    else if (kind == 2) manager.on_spill(now, request(), attempt_index(), amount);
    else if (kind == 3)
      manager.on_engine_wait(now, request(), attempt_index(),
                             amount == 2 ? WaitCause::data_load : WaitCause::memory);
    else throw Malformed("'kind' must be 1, 2 or 3, got " + std::to_string(kind));
  } else if (message == "MEMBERSHIP") {
    const std::string_view mode = fields_.required_text("mode");
    if (mode == "refused") return manager.on_endpoints_refused(now);
    const auto update = one_of<EndpointUpdate>("mode", mode,
                                               {{"changes", EndpointUpdate::delta},
                                                {"all", EndpointUpdate::snapshot},
                                                {"remembered", EndpointUpdate::cached}});
    const std::int64_t bank = fields_.required_integer("bank");
    const auto list = endpoint_lists_.find(bank);
    if (list == endpoint_lists_.end())
      throw Malformed("no POOL with bank " + std::to_string(bank) + " has been received");
    std::vector<EngineEndpoint> engines;
    for (const ListedEngine& listed : list->second) {
      EngineEndpoint& engine = engines.emplace_back(listed.engine);
      engine.zone = instance.deployment().zone(listed.zone);
      engine.kind = instance.deployment().kind(listed.kind);
      if (listed.started_at && *listed.started_at > 0)
        engine.started_at = TimePoint(Duration(*listed.started_at) - instance.start());
    }
    manager.on_endpoint_update(now, update, engines);
  } else if (message == "PING_RESULT") {
    manager.on_probe_ended(now, EngineId{static_cast<std::uint32_t>(fields_.required_integer("engine"))},
                           outcome_of(fields_.required_text("stateCode")), elapsed(), report_of(fields_));
  } else if (message == "STREAMING") {
    manager.on_stream_started(now, request(), attempt_index());
  } else if (message == "WITHDRAWN") {
    manager.on_request_cancelled(now, request());
  } else if (message != "DATAGRAM") {  // a message between managers, which exchange none: ignored
    throw Malformed("unknown message '" + std::string(message) + "'");
  }
}

}  // namespace pearchute::simulator_adapter
