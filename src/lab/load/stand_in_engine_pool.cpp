#include "lab/load/stand_in_engine_pool.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>

#include "engines/engine_session.h"
#include "net/connection.h"
#include "net/deferred_deletion.h"
#include "net/listening_socket.h"

namespace pearchute::lab {

namespace {

constexpr double typical_work_ms = 5;  // of a statement that tells none

CheckTime steady_clock_now() {
  return std::chrono::duration_cast<CheckTime>(std::chrono::steady_clock::now().time_since_epoch());
}

// The value behind `name=`, up to a blank or a comma; empty where there is none.
std::string_view value_of(std::string_view text, std::string_view name) {
  std::size_t at = text.find(name);
  while (at != std::string_view::npos) {
    const bool starts = at == 0 || text[at - 1] == ' ' || text[at - 1] == ',';
    if (starts && text.substr(at + name.size()).starts_with('=')) break;
    at = text.find(name, at + 1);
  }
  if (at == std::string_view::npos) return {};
  text.remove_prefix(at + name.size() + 1);
  return text.substr(0, text.find_first_of(" ,"));
}

double number_of(std::string_view text, std::string_view name, double otherwise) {
  const std::string_view value = value_of(text, name);
  double number = otherwise;
  std::from_chars(value.data(), value.data() + value.size(), number);
  return number;
}

StatementId id_of(std::string_view hex) {
  StatementId id = 0;
  std::from_chars(hex.data(), hex.data() + hex.size(), id, 16);
  return id;
}

}  // namespace

// One connection of a manager, which carries many statements.
class StandInEnginePool::Connection final : public net::Connection::Listener {
 public:
  Connection(Engine& engine, net::Loop& loop, const Poco::Net::StreamSocket& socket) : engine_(engine) {
    wire_ = std::make_unique<net::Connection>(loop, socket, *this);
  }
  std::unique_ptr<net::Connection> release_connection() { return std::move(wire_); }
  void send(std::initializer_list<std::string_view> words) {
    std::string out;
    net::append_command(out, words);
    if (wire_) wire_->send(out);
  }
  void on_data(std::string_view bytes) override;
  void on_closed() override;

 private:
  Engine& engine_;
  net::RespReader reader_;
  std::unique_ptr<net::Connection> wire_;
};

class StandInEnginePool::Engine {
 public:
  Engine(StandInEnginePool& pool, net::Loop& loop, std::uint32_t number)
      : pool_(pool),
        loop_(loop),
        number_(number),
        random_(static_cast<std::knuth_b::result_type>(pool.spec_.seed + number)),
        closed_(loop),
        door_(loop, Poco::Net::SocketAddress("127.0.0.1:0"),
              [this](const Poco::Net::StreamSocket& socket) { accept(socket); }) {}
  ~Engine() { *alive_ = false; }
  std::string address() const { return door_.address().toString(); }

  void received(Connection& connection, const std::vector<std::string>& words) {
    if (words[0] == "want" && words.size() == 4) start(connection, words);
    else if (words[0] == "there" && words.size() == 2) connection.send({words[1], "PONG", "-", ""});
    else if (words[0] == "never_mind" && words.size() == 2) cancel(connection, words[1]);
  }

  void close(Connection& connection) {
    const auto at = connections_.find(&connection);
    if (at == connections_.end()) return;
    for (auto run = running_.begin(); run != running_.end();) {
      if (run->second.connection != &connection) {
        ++run;
        continue;
      }
      release(run->second, false);
      run = running_.erase(run);
    }
    std::erase_if(waiting_, [&](const Run& run) {
      if (run.connection != &connection) return false;
      release(run, false);
      return true;
    });
    closed_.take(std::move(at->second));
    connections_.erase(at);
    --pool_.connections_;
    run_waiting();
  }

 private:
  struct Run {
    Connection* connection = nullptr;
    std::string id;
    std::uint64_t number = 0;
    double work_ms = 0;
    double grant_mb = 0;
  };

  void accept(const Poco::Net::StreamSocket& socket) {
    auto connection = std::make_unique<Connection>(*this, loop_, socket);
    Connection* key = connection.get();
    connections_.emplace(key, std::move(connection));
    ++pool_.connections_;
  }

  void start(Connection& connection, const std::vector<std::string>& words) {
    const std::string_view kind = value_of(words[2], "kind");
    const bool once = std::ranges::find(pool_.spec_.once_classes, kind) != pool_.spec_.once_classes.end();
    ++pool_.begun_;
    pool_.checker_.begun(id_of(words[1]), number_, once, steady_clock_now());
    Run run{&connection, words[1], next_run_++, number_of(words[3], "work", typical_work_ms),
            number_of(words[2], "workmem", 0)};
    granted_mb_ += run.grant_mb;
    if (granted_mb_ > pool_.spec_.memory_mb) {
      release(run, true);
      return connection.send({run.id, "SHED", "-", ""});
    }
    waiting_.push_back(std::move(run));
    run_waiting();
  }

  void run_waiting() {
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(pool_.spec_.cores)) {
      const std::uint64_t number = waiting_.front().number;
      const Duration time = service_time(waiting_.front().work_ms);
      running_.emplace(number, std::move(waiting_.front()));
      waiting_.pop_front();
      loop_.at(loop_.now() + time, [this, alive = alive_, number] {
        if (*alive) finish(number);
      });
    }
  }

  Duration service_time(double work_ms) {
    if (pool_.spec_.service_time == EnginePoolSpec::ServiceTime::exponential) {
      const double drawn = std::max(std::generate_canonical<double, 53>(random_), 1e-9);
      work_ms *= -std::log(drawn);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(work_ms));
  }

  void finish(std::uint64_t number) {
    const auto at = running_.find(number);
    if (at == running_.end()) return;  // cancelled
    const Run run = std::move(at->second);
    running_.erase(at);
    release(run, false);
    run.connection->send({run.id, "HIT", "fetches=1", "a\t" + run.id + "\tz\n"});
    run_waiting();
  }

  void cancel(const Connection& connection, const std::string& id) {
    ++pool_.cancelled_;
    const auto same = [&](const Run& run) { return run.connection == &connection && run.id == id; };
    const auto at = std::ranges::find_if(running_, [&](const auto& one) { return same(one.second); });
    if (at != running_.end()) {
      release(at->second, false);
      running_.erase(at);
      return run_waiting();
    }
    std::erase_if(waiting_, [&](const Run& run) {
      if (!same(run)) return false;
      release(run, true);
      return true;
    });
  }

  void release(const Run& run, bool turned_away) {
    granted_mb_ -= run.grant_mb;
    pool_.checker_.ended(id_of(run.id), number_, turned_away, steady_clock_now());
  }

  StandInEnginePool& pool_;
  net::Loop& loop_;
  const std::uint32_t number_;
  std::knuth_b random_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  net::DeferredDeletion<Connection> closed_;
  std::unordered_map<std::uint64_t, Run> running_;  // as many as cores at most
  std::deque<Run> waiting_;
  double granted_mb_ = 0;
  std::uint64_t next_run_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::ListeningSocket door_;  // last, so that all else is there before a connection comes
};

void StandInEnginePool::Connection::on_data(std::string_view bytes) {
  const bool sound =
      reader_.feed(bytes, [&](std::vector<std::string>& words) { engine_.received(*this, words); });
  if (!sound) engine_.close(*this);
}

void StandInEnginePool::Connection::on_closed() { engine_.close(*this); }

StandInEnginePool::StandInEnginePool(const EnginePoolSpec& spec, ExecutionChecker& checker)
    : spec_(spec), checker_(checker) {
  const int threads = std::clamp(spec_.threads, 1, std::max(spec_.engines, 1));
  engines_.resize(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) threads_.push_back(std::make_unique<net::EventLoopThread>());
  for (int i = 0; i < spec_.engines; ++i) {
    const auto thread = static_cast<std::size_t>(i % threads);
    net::EventLoopThread& on = *threads_[thread];
    on.on([&] {
      engines_[thread].push_back(std::make_unique<Engine>(*this, on.loop(), static_cast<std::uint32_t>(i)));
      addresses_.push_back(engines_[thread].back()->address());
    });
  }
}

StandInEnginePool::~StandInEnginePool() {
  for (std::size_t i = 0; i < threads_.size(); ++i) {
    threads_[i]->on([&] {
      engines_[i].clear();
      threads_[i]->loop().settle();
    });
  }
}

}  // namespace pearchute::lab
