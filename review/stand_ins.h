// Stand-ins for clients, engines, the command channel and the platform, shared by the cases of this review.
// They follow ../given/kit/real/PROTOCOL.md, listen on loopback addresses only, and use blocking sockets with
// one thread for each connection. All times are Unix times in seconds.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int rule_held = 0, rule_broken = 1, could_not_run = 2;

inline double now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(since_epoch).count();
}

inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Whether the case plays its disruption; TROUBLE=0 leaves it out.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// Writes the lines of record.txt, each with the time since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now()) {
    if (!file_) std::perror(path.c_str()), std::_Exit(could_not_run);
  }
  [[gnu::format(printf, 2, 3)]] void line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", now() - start_, text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const double start_;
};

// ---- Sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int listen_on_free_port(int& port) {
  constexpr int backlog = 256;
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  const bool is_listening = ::bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                            ::listen(listener, backlog) == 0 &&
                            ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!is_listening) std::perror("listen"), std::_Exit(could_not_run);
  port = ntohs(address.sin_port);
  return listener;
}

inline int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

// Returns -1 where the connection is refused.
inline int connect_to(int port) {
  const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const int yes = 1;
  ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  if (::connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return peer;
  ::close(peer);
  return -1;
}

// Returns false where the connection has ended.
inline bool send_all(int peer, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads from a blocking socket up to a mark or a length.
class Reader {
 public:
  explicit Reader(int peer) : peer_(peer) {}
  // Returns nothing at the end of the connection, or where nothing arrives before `until`.
  std::optional<std::string> line(double until) {
    while (true) {
      if (const std::size_t end = buffer_.find("\r\n"); end != std::string::npos) {
        std::string text = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return text;
      }
      if (!fill(until)) return std::nullopt;
    }
  }
  std::optional<std::string> bytes(std::size_t count, double until) {
    while (buffer_.size() < count) {
      if (!fill(until)) return std::nullopt;
    }
    std::string text = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return text;
  }

 private:
  bool fill(double until) {
    while (true) {
      const double left = until - now();
      if (left <= 0) return false;
      pollfd one{peer_, POLLIN, 0};
      if (::poll(&one, 1, static_cast<int>(std::min(left, 1.0) * 1000) + 1) <= 0) continue;
      char part[16384];
      const ssize_t got = ::recv(peer_, part, sizeof part, 0);
      if (got < 0 && errno == EINTR) continue;
      if (got <= 0) return false;
      buffer_.append(part, static_cast<std::size_t>(got));
      return true;
    }
  }
  int peer_;
  std::string buffer_;
};

constexpr double never = 1e18;

// ---- Engines

using Strings = std::vector<std::string>;

inline std::string resp(const Strings& strings) {
  std::string out = "*" + std::to_string(strings.size()) + "\r\n";
  for (const std::string& text : strings) out += "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
  return out;
}

inline std::optional<Strings> read_resp(Reader& reader) {
  const auto head = reader.line(never);
  if (!head || head->empty() || (*head)[0] != '*') return std::nullopt;
  Strings strings;
  for (int count = std::atoi(head->c_str() + 1); count > 0; --count) {
    const auto length = reader.line(never);
    if (!length || length->empty() || (*length)[0] != '$') return std::nullopt;
    const auto text = reader.bytes(static_cast<std::size_t>(std::atoi(length->c_str() + 1)) + 2, never);
    if (!text) return std::nullopt;
    strings.push_back(text->substr(0, text->size() - 2));
  }
  return strings;
}

// One connection from a manager to an engine.
class EngineConnection {
 public:
  explicit EngineConnection(int peer) : peer_(peer) {}
  ~EngineConnection() { ::close(peer_); }
  void say(const Strings& strings) {
    const std::lock_guard lock(mutex_);
    send_all(peer_, resp(strings));
  }
  int peer() const { return peer_; }
  void open(const std::string& id) {
    const std::lock_guard lock(mutex_);
    open_.insert(id);
  }
  // Returns whether it was open.
  bool end(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return open_.erase(id) > 0;
  }
  void end_all() {
    const std::lock_guard lock(mutex_);
    open_.clear();
    pages_.clear();
  }
  // Answers with page 0; the other pages are kept until the manager wants no more of them.
  void answer(const std::string& id, const Strings& pages) {
    {
      const std::lock_guard lock(mutex_);
      if (pages.size() > 1) pages_[id] = pages;
    }
    say({id, "HIT", "fetches=" + std::to_string(pages.size()), pages.front()});
  }
  void answer_page(const std::string& id, std::size_t number) {
    std::optional<std::string> page;
    {
      const std::lock_guard lock(mutex_);
      const auto pages = pages_.find(id);
      if (pages != pages_.end() && number < pages->second.size()) page = pages->second[number];
    }
    if (page) say({id, "PART", "fetch_no=" + std::to_string(number), *page});
    else say({id, "FAULT", "-", ""});
  }
  void forget_pages(const std::string& id) {
    const std::lock_guard lock(mutex_);
    pages_.erase(id);
  }

 private:
  int peer_;
  std::mutex mutex_;
  std::set<std::string> open_;
  std::map<std::string, Strings> pages_;
};

// A request as an engine receives it.
struct Want {
  std::string id, statement;
  std::map<std::string, std::string> fields;
  double at = 0;  // when it had come whole
  std::shared_ptr<EngineConnection> connection;
};

// Accepts connections, answers liveness checks, and passes each request to a handler on a thread of its own.
// A cancellation or the end of the connection gives a request up.
class Engine {
 public:
  using Handler = std::function<void(const Want&)>;
  Engine(std::string name, Handler on_want)
      : name_(std::move(name)), on_want_(std::move(on_want)), listener_(listen_on_free_port(port_)) {
    std::thread([this] { accept_all(); }).detach();
  }
  const std::string& name() const { return name_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_all() {
    while (true) {
      const int peer = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) continue;
      const int yes = 1;
      ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      const auto connection = std::make_shared<EngineConnection>(peer);
      std::thread([this, connection] { serve(connection); }).detach();
    }
  }
  void serve(const std::shared_ptr<EngineConnection>& connection) {
    Reader reader(connection->peer());
    while (const auto command = read_resp(reader)) {
      const Strings& words = *command;
      if (words[0] == "there" && words.size() == 2) connection->say({words[1], "PONG", "-", ""});
      if (words[0] == "never_mind" && words.size() == 2) connection->end(words[1]);
      if (words[0] == "turn" && words.size() == 3)
        connection->answer_page(words[1], static_cast<std::size_t>(std::atoi(words[2].c_str())));
      if (words[0] == "shut" && words.size() == 2) connection->forget_pages(words[1]);
      if (words[0] != "want" || words.size() != 4) continue;
      Want want{words[1], words[3], {}, now(), connection};
      std::stringstream fields(words[2]);
      for (std::string field; std::getline(fields, field, ',');)
        want.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
      connection->open(want.id);
      std::thread([this, want] { on_want_(want); }).detach();
    }
    connection->end_all();
    ::shutdown(connection->peer(), SHUT_RDWR);
  }
  std::string name_;
  Handler on_want_;
  int port_ = 0, listener_;
};

inline void answer_with_pages(const Want& want, const Strings& pages) {
  if (want.connection->end(want.id)) want.connection->answer(want.id, pages);
}

inline void answer_with_row(const Want& want, const std::string& row) {
  answer_with_pages(want, {row + "\n"});
}

// ---- The command channel

// An engine in the list.
struct Member {
  std::string name, address, zone, kind, phase = "active";
  std::int64_t up_since_ms = 0;
  std::string json() const {
    return R"({"id":")" + name + R"(","host_port":")" + address + R"(","locality":")" + zone +
           R"(","flavor":")" + kind + R"(","cell":0,"phase":")" + phase + R"(","size":4,"up_since_ms":)" +
           std::to_string(up_since_ms) + "}";
  }
};

inline std::string list_event(int number, bool is_complete, const std::vector<Member>& members) {
  std::string list;
  for (const Member& member : members) list += (list.empty() ? "" : ",") + member.json();
  return R"({"cursor":)" + std::to_string(number) + R"(,"nodes":{"revision":)" + std::to_string(number) +
         R"(,"complete":)" + (is_complete ? "true" : "false") + R"(,"members":[)" + list + "]}}";
}

// Sends the numbered events after a manager's Last-Event-ID, and a comment each second.
class Channel {
 public:
  Channel() : listener_(listen_on_free_port(port_)) {
    std::thread([this] { accept_all(); }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void tell(const std::vector<Member>& members, bool is_complete = false) {
    const std::lock_guard lock(mutex_);
    events_.push_back(list_event(static_cast<int>(events_.size()) + 1, is_complete, members));
  }
  std::string known() {
    const std::lock_guard lock(mutex_);
    std::string list;
    for (const std::string& event : events_) list += (list.empty() ? "" : ",") + event;
    return R"({"cursor":)" + std::to_string(events_.size()) + R"(,"cmds":[)" + list + "]}";
  }

 private:
  void accept_all() {
    while (true) {
      const int peer = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) continue;
      const int yes = 1;
      ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread([this, peer] { serve(peer); }).detach();
    }
  }
  void serve(int peer) {
    Reader reader(peer);
    std::size_t next = 0;
    std::optional<std::string> line;
    while ((line = reader.line(never)) && !line->empty()) {
      if (line->starts_with("Last-Event-ID:")) next = static_cast<std::size_t>(std::atoi(line->c_str() + 14));
    }
    bool is_open =
        line && send_all(peer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n");
    for (double commented_at = now(); is_open; sleep_for(0.01)) {
      std::string out;
      {
        const std::lock_guard lock(mutex_);
        for (; next < events_.size(); ++next)
          out += "id: " + std::to_string(next + 1) + "\ndata: " + events_[next] + "\n\n";
      }
      if (now() - commented_at >= 1) out += ": still here\n\n", commented_at = now();
      if (!out.empty()) is_open = send_all(peer, out);
    }
    ::close(peer);
  }
  int port_ = 0, listener_;
  std::mutex mutex_;
  std::vector<std::string> events_;
};

// ---- Clients

inline std::string hex_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// A client's request.
struct Job {
  std::string type, statement = "SELECT a, b, c FROM plates_7.cars";
  int timeout_ms = 7500;
  double cost_ms = 100;
  std::string token, key;  // empty: none
  bool is_retry = false;
  std::string id = hex_id();
  std::string bytes() const {
    char cost[32];
    std::snprintf(cost, sizeof cost, "%.1f", cost_ms);
    return "POST /do/" + type + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id +
           "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\nX-Cost-Ms: " + cost +
           "\r\nX-Est-Mb: 64\r\n" + (is_retry ? "X-Retry: 1\r\n" : "") +
           (token.empty() ? "" : "Idempotency-Key: " + token + "\r\n") +
           (key.empty() ? "" : "X-Object: " + key + "\r\n") +
           "Content-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
  }
};

// An HTTP answer; `status` is 0 where the connection ended, or the time was over, before it was whole.
struct Answer {
  int status = 0;
  std::string body;
  int retry_after_ms = 0;
  bool closes = false;
  bool is_refusal() const {
    return status == 429 || status == 503 || body.find(R"("abort":"TryLater")") != std::string::npos;
  }
  bool is_served() const { return status == 200 && body.find(R"("abort")") == std::string::npos; }
};

inline Answer read_answer(Reader& reader, double until) {
  Answer answer;
  const auto first = reader.line(until);
  if (!first || first->size() < 12) return {};
  std::size_t length = 0;
  while (true) {
    const auto line = reader.line(until);
    if (!line) return {};
    if (line->empty()) break;
    if (line->starts_with("Content-Length: ")) length = std::stoul(line->substr(16));
    if (line->starts_with("Retry-After-Ms: ")) answer.retry_after_ms = std::atoi(line->c_str() + 16);
    if (*line == "Connection: close") answer.closes = true;
  }
  const auto body = reader.bytes(length, until);
  if (!body) return {};
  answer.body = *body;
  answer.status = std::atoi(first->c_str() + 9);
  return answer;
}

inline std::optional<std::string> path_in(const Answer& answer) {
  constexpr std::string_view mark = R"({"link":")";
  if (answer.status != 200 || !answer.body.starts_with(mark)) return std::nullopt;
  return answer.body.substr(mark.size(), answer.body.find('"', mark.size()) - mark.size());
}

// Reads the answer of a request whose bytes are written, and follows its path on the same connection.
inline Answer final_answer(int peer, Reader& reader, double until) {
  Answer answer = read_answer(reader, until);
  while (const auto path = path_in(answer)) {
    send_all(peer, "GET " + *path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n");
    answer = read_answer(reader, until);
  }
  return answer;
}

// Sends a job on a new connection, and waits for its final answer until a second after its time.
inline Answer ask(int port, const Job& job, const std::function<void(double written_at)>& on_written = {}) {
  const int peer = connect_to(port);
  if (peer < 0) return {};
  Answer answer;
  if (send_all(peer, job.bytes())) {
    const double written_at = now();
    if (on_written) on_written(written_at);
    Reader reader(peer);
    answer = final_answer(peer, reader, written_at + job.timeout_ms / 1000.0 + 1);
  }
  ::close(peer);
  return answer;
}

// ---- Managers

// Starts a manager by the `run` line of the deploy file, from the project's root.
class Manager {
 public:
  Manager(std::string name, const std::string& folder)
      : name_(std::move(name)),
        configuration_(folder + "/" + name_ + ".json"),
        log_(folder + "/" + name_ + ".log"),
        port_(free_port()) {}
  ~Manager() { kill_now(); }
  int port() const { return port_; }
  void configure(const std::string& settings, const std::string& channel, const std::string& known,
                 int memory_mb = 192, int sockets = 1024) {
    std::ofstream(configuration_) << R"({"name":")" << name_ << R"(","listen":"127.0.0.1:)" << port_
                                  << R"(","seed":")" << hex_id() << R"(","limits":{"cores":1.0,"memory_mb":)"
                                  << memory_mb << R"(,"sockets":)" << sockets << R"(},"channel":")" << channel
                                  << R"(","known":)" << known << R"(,"settings":)" << settings << "}";
  }
  // Ends the case where the manager is not ready within 30 s.
  void start() {
    const std::string line = run_line();
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("PROXY_CONFIG", configuration_.c_str(), 1);
      ::setenv("PROXY_NAME", name_.c_str(), 1);
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, STDOUT_FILENO), ::dup2(log, STDERR_FILENO);
      ::execl("/bin/sh", "sh", "-c", line.c_str(), nullptr);
      std::_Exit(127);
    }
    for (const double until = now() + 30; now() < until; sleep_for(0.02)) {
      if (is_ready()) return;
      if (::waitpid(process_, nullptr, WNOHANG) == process_) break;
    }
    std::fprintf(stderr, "the manager %s did not become ready\n", name_.c_str());
    process_ = -1;
    std::exit(could_not_run);
  }
  bool is_ready() const {
    const int peer = connect_to(port_);
    if (peer < 0) return false;
    send_all(peer, "GET /check HTTP/1.1\r\nHost: api.internal\r\n\r\n");
    Reader reader(peer);
    const bool ready = read_answer(reader, now() + 1).status == 200;
    ::close(peer);
    return ready;
  }
  void kill_now() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
  }

 private:
  static std::string run_line() {
    std::ifstream file("deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("run = \"")) return line.substr(7, line.rfind('"') - 7);
    }
    std::fprintf(stderr, "deploy/balancer.toml has no run line\n");
    std::exit(could_not_run);
  }
  std::string name_, configuration_, log_;
  int port_;
  pid_t process_ = -1;
};

}  // namespace review
