// Stand-ins for the cases of the second review: engines (RESP), the command channel (server-sent events),
// clients (HTTP) and the platform (starts and signals workload managers). Each follows the operators' pages;
// a case scripts the disruption. All addresses are loopback addresses, ports are chosen by the system, and
// times are real.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Seconds since the start of the case.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_until(double when) {
  const double left = when - now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}
inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Ends the case: it could not run. The system ends the processes that it started (see Manager::start).
inline std::string temporary_folder;
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::error_code ignored;
  if (!temporary_folder.empty()) std::filesystem::remove_all(temporary_folder, ignored);
  std::_Exit(2);
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (!file_) cannot_run("can't write " + path);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.3f ", now());
    va_list list;
    va_start(list, format);
    std::vfprintf(file_, format, list);
    va_end(list);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_ = nullptr;
  std::mutex mutex_;
};
inline Record record;

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
// Listens at a free port of 127.0.0.1.
inline int listen_anywhere(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd, 256) < 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0)
    cannot_run("can't listen on a loopback address");
  port = ntohs(address.sin_port);
  return fd;
}
inline int free_port() {
  int port = 0;
  ::close(listen_anywhere(port));
  return port;
}
inline void no_delay(int fd) {
  const int yes = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

// ---- Engines

struct Want {
  std::string id, kind, token, body;
  std::map<std::string, std::string> fields;
  double at = 0;          // when it had come whole
  double first_byte = 0;  // when its first byte was read
  // How and when it ended, as far as the engine can see: answered, shed, reset by the engine, given up by the
  // workload manager (never_mind, or the end of the connection).
  enum End { open, answered, fault, shed, reset, given_up } end = open;
  double ended_at = 0;
};
// What an engine does with an attempt.
struct Plan {
  enum Kind { hit, fault, shed, reset, nothing } kind = hit;
  double after = 0.01;  // seconds
  int pages = 1;
  std::size_t page_bytes = 0;  // about; 0: one row a page
};
// The rows of a page; the request, the engine and the page can be told from each.
inline std::string page_text(const std::string& id, const std::string& engine, int page, std::size_t bytes) {
  const std::string row = id + "\t" + engine + "\tpage " + std::to_string(page) + "\n";
  std::string text = row;
  while (text.size() + row.size() <= bytes) text += row;
  return text;
}

class Engine {
 public:
  explicit Engine(std::string name, std::function<Plan(const Want&)> plan)
      : name_(std::move(name)), plan_(std::move(plan)) {
    listener_ = listen_anywhere(port_);
    thread_ = std::thread([this] { run(); });
  }
  ~Engine() {
    stop_ = true;
    thread_.join();
    for (auto& one : links_) ::close(one.fd);
    ::close(listener_);
  }
  const std::string& name() const { return name_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // The attempts that have come, in order.
  std::vector<Want> wants() const {
    std::lock_guard lock(mutex_);
    return wants_;
  }
  std::size_t outstanding() const { return outstanding_; }

 private:
  struct Link {
    int fd = -1;
    std::uint64_t number = 0;
    std::string in, out;
    double in_since = 0;  // when the first byte of the incomplete command was read
    bool closed = false;
  };
  struct Due {
    double at;
    std::uint64_t link;
    std::string id;
    Plan plan;
    bool operator>(const Due& other) const { return at > other.at; }
  };
  static void put(std::string& out, std::initializer_list<std::string> strings) {
    out += "*" + std::to_string(strings.size()) + "\r\n";
    for (const auto& one : strings) out += "$" + std::to_string(one.size()) + "\r\n" + one + "\r\n";
  }
  // Takes one command off the front; false if there is no whole one.
  static bool take(std::string& in, std::vector<std::string>& strings) {
    strings.clear();
    std::size_t at = 0;
    const auto number = [&](char mark, long& value) {
      const std::size_t end = in.find("\r\n", at);
      if (end == std::string::npos || in[at] != mark) return false;
      value = std::strtol(in.c_str() + at + 1, nullptr, 10);
      at = end + 2;
      return true;
    };
    long count = 0;
    if (in.empty() || !number('*', count)) return false;
    for (long i = 0; i < count; ++i) {
      long length = 0;
      if (at >= in.size() || !number('$', length)) return false;
      if (in.size() < at + static_cast<std::size_t>(length) + 2) return false;
      strings.push_back(in.substr(at, static_cast<std::size_t>(length)));
      at += static_cast<std::size_t>(length) + 2;
    }
    in.erase(0, at);
    return true;
  }
  void on_command(Link& link, const std::vector<std::string>& words) {
    if (words[0] == "there" && words.size() >= 2) return put(link.out, {words[1], "PONG", "-", ""});
    if (words[0] == "never_mind" && words.size() >= 2) {
      record.line("engine %s never_mind %s", name_.c_str(), words[1].c_str());
      ended({link.number, words[1]}, Want::given_up);
      results_.erase({link.number, words[1]});
      return;
    }
    if (words[0] == "turn" && words.size() >= 3) {
      const auto result = results_.find({link.number, words[1]});
      if (result == results_.end()) return put(link.out, {words[1], "FAULT", "-", ""});
      const std::string page =
          page_text(words[1], name_, std::atoi(words[2].c_str()), result->second.page_bytes);
      return put(link.out, {words[1], "PART", "fetch_no=" + words[2], page});
    }
    if (words[0] == "shut" && words.size() >= 2) {
      results_.erase({link.number, words[1]});
      return;
    }
    if (words[0] != "want" || words.size() < 4) return;
    Want want;
    want.id = words[1], want.body = words[3], want.at = now(), want.first_byte = link.in_since;
    std::stringstream list(words[2]);
    for (std::string part; std::getline(list, part, ',');) {
      const std::size_t sign = part.find('=');
      if (sign != std::string::npos) want.fields[part.substr(0, sign)] = part.substr(sign + 1);
    }
    want.kind = want.fields["kind"], want.token = want.fields["token"];
    record.line("engine %s want %s kind=%s ms=%s", name_.c_str(), want.id.c_str(), want.kind.c_str(),
                want.fields["ms"].c_str());
    {
      std::lock_guard lock(mutex_);
      wants_.push_back(want);
      open_[{link.number, want.id}] = wants_.size() - 1;
    }
    outstanding_ = open_.size();
    const Plan plan = plan_(want);
    if (plan.kind != Plan::nothing) due_.push({now() + plan.after, link.number, want.id, plan});
  }
  void on_due(const Due& due) {
    const auto link =
        std::find_if(links_.begin(), links_.end(), [&](const Link& l) { return l.number == due.link; });
    if (!open_.contains({due.link, due.id}) || link == links_.end() || link->closed) return;
    constexpr Want::End ends[] = {Want::answered, Want::fault, Want::shed, Want::reset, Want::open};
    ended({due.link, due.id}, ends[due.plan.kind]);
    switch (due.plan.kind) {
      case Plan::hit:
        put(link->out, {due.id, "HIT", "fetches=" + std::to_string(due.plan.pages),
                        page_text(due.id, name_, 0, due.plan.page_bytes)});
        if (due.plan.pages > 1) results_[{link->number, due.id}] = due.plan;
        record.line("engine %s HIT %s", name_.c_str(), due.id.c_str());
        break;
      case Plan::fault:
        put(link->out, {due.id, "FAULT", "-", ""});
        record.line("engine %s FAULT %s", name_.c_str(), due.id.c_str());
        break;
      case Plan::shed:
        put(link->out, {due.id, "SHED", "-", ""});
        record.line("engine %s SHED %s", name_.c_str(), due.id.c_str());
        break;
      case Plan::reset: {
        record.line("engine %s resets the connection under %s", name_.c_str(), due.id.c_str());
        const linger hard{1, 0};
        ::setsockopt(link->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        resetting_ = true;
        end(*link);
        resetting_ = false;
        break;
      }
      case Plan::nothing:
        break;
    }
  }
  void end(Link& link) {
    if (link.closed) return;
    link.closed = true;
    ::close(link.fd);
    std::vector<std::pair<std::uint64_t, std::string>> left;
    for (const auto& [key, index] : open_) {
      if (key.first == link.number) left.push_back(key);
    }
    for (const auto& key : left) ended(key, resetting_ ? Want::reset : Want::given_up);
    std::erase_if(results_, [&](const auto& one) { return one.first.first == link.number; });
  }
  void ended(const std::pair<std::uint64_t, std::string>& key, Want::End how) {
    const auto at = open_.find(key);
    if (at == open_.end()) return;
    std::lock_guard lock(mutex_);
    wants_[at->second].end = how, wants_[at->second].ended_at = now();
    open_.erase(at);
    outstanding_ = open_.size();
  }
  void run() {
    while (!stop_) {
      std::vector<pollfd> fds{{listener_, POLLIN, 0}};
      for (const Link& link : links_)
        fds.push_back({link.fd, static_cast<short>(POLLIN | (link.out.empty() ? 0 : POLLOUT)), 0});
      int wait = 20;
      if (!due_.empty())
        wait = std::clamp(static_cast<int>(std::ceil((due_.top().at - now()) * 1000)), 0, wait);
      ::poll(fds.data(), fds.size(), wait);
      std::size_t i = 1;
      for (Link& link : links_) {
        const short seen = fds[i++].revents;
        if (seen & (POLLIN | POLLHUP | POLLERR)) read(link);
      }
      if (fds[0].revents & POLLIN) {
        for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
          no_delay(fd);
          links_.push_back({fd, ++links_made_, "", "", 0, false});
        }
      }
      while (!due_.empty() && due_.top().at <= now()) {
        const Due due = due_.top();
        due_.pop();
        on_due(due);
      }
      for (Link& link : links_) {
        if (link.closed || link.out.empty()) continue;
        const ssize_t sent = ::send(link.fd, link.out.data(), link.out.size(), MSG_NOSIGNAL);
        if (sent > 0) link.out.erase(0, static_cast<std::size_t>(sent));
        else if (sent < 0 && errno != EAGAIN) end(link);
      }
      links_.remove_if([](const Link& link) { return link.closed; });
    }
  }
  void read(Link& link) {
    char bytes[16384];
    for (;;) {
      const ssize_t got = ::recv(link.fd, bytes, sizeof bytes, 0);
      if (got < 0 && errno == EAGAIN) break;
      if (got <= 0) return end(link);
      if (link.in.empty()) link.in_since = now();
      link.in.append(bytes, static_cast<std::size_t>(got));
    }
    std::vector<std::string> words;
    while (take(link.in, words)) {
      if (!words.empty()) on_command(link, words);
      link.in_since = now();
    }
  }

  std::string name_;
  std::function<Plan(const Want&)> plan_;
  int listener_ = -1, port_ = 0;
  std::uint64_t links_made_ = 0;
  std::list<Link> links_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::map<std::pair<std::uint64_t, std::string>, std::size_t> open_;  // positions in wants_
  bool resetting_ = false;
  std::map<std::pair<std::uint64_t, std::string>, Plan> results_;  // whose further pages may be asked for
  std::atomic<std::size_t> outstanding_{0};
  mutable std::mutex mutex_;
  std::vector<Want> wants_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// ---- The command channel

// One engine as the list tells it.
struct Member {
  std::string id, address, locality = "floor-1", flavor = "c12", phase = "active";
  std::int64_t up_since_ms = 0;
};
inline std::string member_json(const Member& one) {
  return R"({"id":")" + one.id + R"(","host_port":")" + one.address + R"(","locality":")" + one.locality +
         R"(","flavor":")" + one.flavor + R"(","cell":1,"phase":")" + one.phase +
         R"(","size":4,"up_since_ms":)" + std::to_string(one.up_since_ms) + "}";
}
inline std::string event_json(int cursor, bool complete, const std::vector<Member>& members) {
  std::string text = R"({"cursor":)" + std::to_string(cursor) + R"(,"nodes":{"revision":)" +
                     std::to_string(cursor) + R"(,"complete":)" + (complete ? "true" : "false") +
                     R"(,"members":[)";
  for (std::size_t i = 0; i < members.size(); ++i) text += (i ? "," : "") + member_json(members[i]);
  return text + "]}}";
}

class Channel {
 public:
  Channel() {
    listener_ = listen_anywhere(port_);
    thread_ = std::thread([this] { run(); });
  }
  ~Channel() {
    stop_ = true;
    thread_.join();
    for (auto& one : streams_) ::close(one.fd);
    ::close(listener_);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Adds an event; its number is the next one.
  void tell(bool complete, const std::vector<Member>& members) {
    std::lock_guard lock(mutex_);
    events_.push_back(event_json(static_cast<int>(events_.size()) + 1, complete, members));
    record.line("channel event %zu: %s", events_.size(), events_.back().c_str());
  }
  // The events up to now, as the configuration holds them.
  std::string known() const {
    std::lock_guard lock(mutex_);
    std::string text = R"({"cursor":)" + std::to_string(events_.size()) + R"(,"cmds":[)";
    for (std::size_t i = 0; i < events_.size(); ++i) text += (i ? "," : "") + events_[i];
    return text + "]}";
  }
  // From now on all streams, open and new, tell nothing more and stay open; a stream that has stopped stays
  // so.
  void stop_streams(bool stopped) {
    stopped_ = stopped;
    record.line("channel %s", stopped ? "stops: streams stay open and tell nothing" : "works again");
  }
  int open_streams() const { return open_streams_; }
  // Ends all streams, amid an event if `within_event`.
  void break_streams(bool within_event) {
    break_ = within_event ? 2 : 1;
    record.line("channel: all streams break%s", within_event ? " amid an event" : "");
  }

 private:
  struct Stream {
    int fd = -1;
    std::string in;
    std::size_t told = 0;
    bool asked = false, dead = false, closed = false;
    double comment_at = 0;
  };
  void run() {
    while (!stop_) {
      std::vector<pollfd> fds{{listener_, POLLIN, 0}};
      for (const Stream& one : streams_) fds.push_back({one.fd, POLLIN, 0});
      ::poll(fds.data(), fds.size(), 10);
      std::size_t i = 1;
      for (Stream& one : streams_) {
        if (fds[i++].revents) read(one);
        if (stopped_) one.dead = true;
        if (!one.closed && one.asked && !one.dead) write(one);
      }
      if (fds[0].revents & POLLIN) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (fd >= 0) {
          no_delay(fd);
          streams_.push_back({fd, "", 0, false, stopped_, false, now() + 1});
          record.line("channel: a stream is opened%s", stopped_ ? " (and stays silent)" : "");
        }
      }
      if (const int how = break_.exchange(0)) {
        for (Stream& one : streams_) {
          if (one.closed) continue;
          if (how == 2 && one.asked)
            send(one, "id: " + std::to_string(one.told + 1) + "\ndata: {\"cursor\":");
          if (!one.closed) ::close(one.fd), one.closed = true;
        }
      }
      streams_.remove_if([](const Stream& one) { return one.closed; });
      open_streams_ = static_cast<int>(streams_.size());
    }
  }
  void read(Stream& one) {
    char bytes[4096];
    const ssize_t got = ::recv(one.fd, bytes, sizeof bytes, 0);
    if (got < 0 && errno == EAGAIN) return;
    if (got <= 0) {
      one.closed = true;
      ::close(one.fd);
      record.line("channel: the workload manager closes a stream");
      return;
    }
    one.in.append(bytes, static_cast<std::size_t>(got));
    if (one.asked || one.dead || one.in.find("\r\n\r\n") == std::string::npos) return;
    const std::size_t at = one.in.find("Last-Event-ID:");
    if (at != std::string::npos)
      one.told = static_cast<std::size_t>(std::strtol(one.in.c_str() + at + 14, nullptr, 10));
    one.asked = true;
    send(one, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n");
    record.line("channel: a stream asks from number %zu", one.told);
  }
  void write(Stream& one) {
    std::string out;
    {
      std::lock_guard lock(mutex_);
      while (one.told < events_.size()) {
        out += "id: " + std::to_string(one.told + 1) + "\ndata: " + events_[one.told] + "\n\n";
        ++one.told;
      }
    }
    if (now() >= one.comment_at) out += ": still here\n\n", one.comment_at = now() + 1;
    if (!out.empty()) send(one, out);
  }
  void send(Stream& one, const std::string& text) {
    if (::send(one.fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) one.closed = true, ::close(one.fd);
  }

  int listener_ = -1, port_ = 0;
  std::list<Stream> streams_;
  mutable std::mutex mutex_;
  std::vector<std::string> events_;
  std::atomic<bool> stopped_{false}, stop_{false};
  std::atomic<int> break_{0};
  std::atomic<int> open_streams_{0};
  std::thread thread_;
};

// ---- Clients

struct Call {
  std::string kind, id, token, key, body = "SELECT a, b, c FROM sales_17.orders";
  int timeout_ms = 7500;
  double cost_ms = 100, memory_mb = 64;
};
struct Answer {
  enum Kind { served, refused, failed, lost, gone } kind = lost;
  double sent = 0, at = 0;  // when its last byte was written; when the last answer was whole
  int status = 0;
  std::string body;
};
inline const char* word(Answer::Kind kind) {
  constexpr const char* words[] = {"served", "refused", "failed", "LOST", "gone"};
  return words[kind];
}

inline std::string post_text(const Call& call) {
  std::string text = "POST /do/" + call.kind + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + call.id +
                     "\r\nX-Timeout-Ms: " + std::to_string(call.timeout_ms) +
                     "\r\nX-Cost-Ms: " + std::to_string(call.cost_ms) +
                     "\r\nX-Est-Mb: " + std::to_string(call.memory_mb) + "\r\n";
  if (!call.token.empty()) text += "Idempotency-Key: " + call.token + "\r\n";
  if (!call.key.empty()) text += "X-Object: " + call.key + "\r\n";
  return text + "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}
inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 chance(std::random_device{}());
  std::lock_guard lock(mutex);
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(chance()));
  return text;
}

// One connection of a client.
class ClientLink {
 public:
  explicit ClientLink(int port) : port_(port) { open(); }
  ~ClientLink() { close(); }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool write(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t sent = ::send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Reads one whole HTTP answer until `until`; false if the connection ends first or the time is up.
  bool read(double until, int& status, std::string& body, std::string& head) {
    for (;;) {
      const std::size_t end = in_.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = in_.substr(0, end + 2);
        std::size_t length = 0;
        const std::size_t at = head.find("Content-Length: ");
        if (at != std::string::npos) length = std::strtoul(head.c_str() + at + 16, nullptr, 10);
        if (in_.size() >= end + 4 + length) {
          status = std::atoi(head.c_str() + 9);
          body = in_.substr(end + 4, length);
          in_.erase(0, end + 4 + length);
          return true;
        }
      }
      pollfd one{fd_, POLLIN, 0};
      const double left = until - now();
      if (left <= 0 || ::poll(&one, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        timed_out_ = true;
        return false;
      }
      char bytes[16384];
      const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
      if (got <= 0) return false;
      in_.append(bytes, static_cast<std::size_t>(got));
    }
  }
  bool timed_out() const { return timed_out_; }
  void open() {
    close();
    in_.clear();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port_);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) return close();
    no_delay(fd_);
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int port_, fd_ = -1;
  bool timed_out_ = false;
  std::string in_;
};

inline std::string link_of(const std::string& body) {
  const std::size_t at = body.find("\"link\":\"");
  if (at == std::string::npos) return "";
  const std::size_t end = body.find('"', at + 8);
  return body.substr(at + 8, end - at - 8);
}
inline Answer::Kind kind_of(int status, const std::string& body) {
  if (status == 429 || status == 503 || body.find("\"abort\":\"TryLater\"") != std::string::npos)
    return Answer::refused;
  if (status == 200 && body.find("\"abort\"") == std::string::npos) return Answer::served;
  return Answer::failed;
}
// Reads the answer to the call that was written last, and follows its links, until `until`.
inline Answer follow(ClientLink& link, const Call& call, double sent, double until) {
  Answer answer;
  answer.sent = sent;
  std::string head;
  int tries_left = 3;
  std::string path;
  for (;;) {
    if (!link.read(until, answer.status, answer.body, head)) {
      answer.at = now();
      if (link.timed_out() || path.empty() || tries_left-- == 0) break;
      link.open();  // the call of the path is made again on a new connection
      if (link.is_open()) link.write("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n");
      else std::this_thread::sleep_for(std::chrono::milliseconds(50));
      continue;
    }
    answer.at = now();
    path = answer.status == 200 ? link_of(answer.body) : "";
    if (path.empty()) {
      answer.kind = kind_of(answer.status, answer.body);
      break;
    }
    link.write("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n");
  }
  record.line("client %s %s %s status=%d after %.3f s", call.kind.c_str(), call.id.c_str(), word(answer.kind),
              answer.kind == Answer::lost ? 0 : answer.status, answer.at - answer.sent);
  return answer;
}
// One request on a new connection; waits `slack` seconds longer than its time.
inline Answer request(int port, const Call& call, double slack = 0.5) {
  Answer answer;
  ClientLink link(port);
  if (!link.is_open() || !link.write(post_text(call))) {
    answer.kind = Answer::gone;  // never taken
    record.line("client %s %s could not be sent", call.kind.c_str(), call.id.c_str());
    return answer;
  }
  const double sent = now();
  record.line("client %s %s sent, timeout %d ms", call.kind.c_str(), call.id.c_str(), call.timeout_ms);
  return follow(link, call, sent, sent + call.timeout_ms / 1000.0 + slack);
}

// ---- The platform

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    std::string text = std::string(base && *base ? base : "/tmp") + "/review-2-XXXXXX";
    if (!::mkdtemp(text.data())) cannot_run("can't make a temporary folder");
    path_ = temporary_folder = text;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The line `run` of the deploy file.
inline std::string run_line() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) != 0) continue;
    return line.substr(7, line.rfind('"') - 7);
  }
  cannot_run("deploy/balancer.toml has no line `run`");
}

class Manager {
 public:
  Manager(const Folder& folder, std::string name, const std::string& settings, const Channel& channel,
          int memory_mb = 192, int sockets = 1024)
      : name_(std::move(name)),
        port_(free_port()),
        config_(folder.path() + "/" + name_ + ".json"),
        log_(folder.path() + "/" + name_ + ".log") {
    std::ofstream(config_) << R"({"name":")" << name_ << R"(","listen":"127.0.0.1:)" << port_
                           << R"(","seed":")" << new_id() << R"(","limits":{"cores":1.0,"memory_mb":)"
                           << memory_mb << R"(,"sockets":)" << sockets << R"(},"channel":")"
                           << channel.address() << R"(","known":)" << channel.known() << R"(,"settings":)"
                           << settings << "}";
    start();
  }
  ~Manager() { kill(); }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void start() {
    const std::string line = run_line(), config = config_, log = log_,
                      listen = "127.0.0.1:" + std::to_string(port_);
    const std::string listen_variable = "PROXY_LISTEN=" + listen, config_variable = "PROXY_CONFIG=" + config,
                      name_variable = "PROXY_NAME=" + name_;
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("can't fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
      if (::getppid() != parent) std::_Exit(2);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1), ::dup2(out, 2);
      const char* arguments[] = {"sh", "-c", line.c_str(), nullptr};
      const char* variables[] = {listen_variable.c_str(), config_variable.c_str(), name_variable.c_str(),
                                 path_variable.c_str(), nullptr};
      ::execve("/bin/sh", const_cast<char**>(arguments), const_cast<char**>(variables));
      std::_Exit(127);
    }
    record.line("platform: workload manager %s started", name_.c_str());
    wait_ready();
  }
  void signal(int number, const char* word) {
    record.line("platform: %s to %s", word, name_.c_str());
    ::kill(pid_, number);
  }
  bool has_ended(int* status = nullptr) {
    if (pid_ <= 0) return true;
    int got = 0;
    if (::waitpid(pid_, &got, WNOHANG) != pid_) return false;
    pid_ = -1;
    ended_ = got;
    if (status) *status = got;
    record.line("platform: %s has ended, status %d", name_.c_str(), got);
    return true;
  }
  int end_status() const { return ended_; }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  std::string log() const {
    std::ifstream file(log_);
    return {std::istreambuf_iterator<char>(file), {}};
  }

 private:
  void wait_ready() {
    for (const double until = now() + 15; now() < until;
         std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
      if (has_ended()) break;
      ClientLink link(port_);
      int status = 0;
      std::string body, head;
      if (link.is_open() && link.write("GET /check HTTP/1.1\r\nHost: api.internal\r\n\r\n") &&
          link.read(now() + 2, status, body, head) && status == 200)
        return;
    }
    std::fprintf(stderr, "%s", log().c_str());
    cannot_run("the workload manager does not come up");
  }
  std::string name_;
  int port_;
  std::string config_, log_;
  pid_t pid_ = -1;
  int ended_ = 0;
};

// ---- Settings, in the form of the simulator's first message

struct ClassSettings {
  std::string name, repeat = "pure", extra;  // `extra`: further members, each with a comma in front
  int slo_ms = 1500, give_up_ms = 7500, window_ms = 25000, threads = 1;
  double stretch = 2, worth = 1;
};
struct SiteSettings {
  std::vector<ClassSettings> classes;
  std::string obligations, limits;  // further members, each with a comma in front
  int managers = 1, max_attempts = 6, idle_ms = 15000, connect_ms = 250;
  bool cancel = true, second_copies = false;
  int tells_every_ms = 0, max_retry_after_ms = 1000;
};
inline std::string settings_json(const SiteSettings& site) {
  std::ostringstream out;
  out << R"({"classes":[)";
  std::string threads, no;
  for (std::size_t i = 0; i < site.classes.size(); ++i) {
    const ClassSettings& one = site.classes[i];
    out << (i ? "," : "") << R"({"name":")" << one.name << R"(","repeat":")" << one.repeat
        << R"(","keyScope":"all","window":)" << 1000 * one.window_ms << R"(,"slo":)" << 1000 * one.slo_ms
        << R"(,"giveUp":)" << 1000 * one.give_up_ms << R"(,"aimStretch":)" << one.stretch << R"(,"worth":)"
        << one.worth << R"(,"lateValue":0.1,"stream":false)" << one.extra << "}";
    threads += (i ? "," : "") + std::to_string(one.threads);
    no += i ? ",false" : "false";
  }
  out << R"(],"clients":{"marksRetry":false},"discovery":"pushed","domainType":"queries",)"
      << R"("failureDomains":["floor-1","floor-2","floor-3"],"familyInfo":{"classLoad":[)" << no
      << R"(],"classWaits":[)" << no
      << R"(],"coresByKind":[12,8],"costInAnswers":false,"grantCap":0.4,"outOfMemory":"overcommit","parallelism":[)"
      << threads << R"(],"sizeMb":[24576.0,16384.0],"takesGrants":true,"takesPriority":true,"tellsEvery":)"
      << 1000 * site.tells_every_ms
      << R"(},"feedback":{"how":"answers","names":["backlog"]},"hostTypes":["c12","c8"],)"
      << R"("limits":{"attemptsCap":)" << site.max_attempts << R"(,"cancel":)"
      << (site.cancel ? "true" : "false") << R"(,"connectTimeout":)" << 1000 * site.connect_ms
      << R"(,"idleClose":)" << 1000 * site.idle_ms << R"(,"maxOpen":20000,"maxRetryAfter":)"
      << 1000 * site.max_retry_after_ms
      << R"(,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":)"
      << (site.second_copies ? "true" : "false") << R"(,"streamsPerConn":100)" << site.limits
      << R"(},"me":0,"nInstances":)" << site.managers
      << R"(,"obligations":{"answerSlack":20000,"askWithin":10000000,"cold":15000000,"coldFrom":0.3,"fall":1000000,)"
      << R"("stopSendingWithin":500000,"tipMultiple":2.5)" << site.obligations
      << R"(},"overShareWorth":0.1,"prices":{"connection":0.0,"crossZone":0.082,"discovery":0.0,"handshake":0.0,)"
      << R"("lateFail":0.031,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.16},"round":5000,"tier":0,)"
      << R"("tiers":["query-fleet"],"valueBy":"request","weights":"none","zone":"floor-1"})";
  return out.str();
}

// A small deployment of optic-main.
inline SiteSettings optic_main() {
  SiteSettings site;
  site.classes = {
      {.name = "lookup", .slo_ms = 1500, .give_up_ms = 7500, .threads = 1, .stretch = 2, .worth = 1},
      {.name = "report",
       .extra = R"(,"boundTo":["c12"])",
       .slo_ms = 3000,
       .give_up_ms = 25000,
       .threads = 3,
       .stretch = 2.5,
       .worth = 4},
      {.name = "upload",
       .repeat = "token",
       .slo_ms = 3000,
       .give_up_ms = 20000,
       .window_ms = 20000,
       .threads = 2,
       .stretch = 3,
       .worth = 4}};
  site.obligations = R"(,"freeResends":2,"extraShare":0.1,"ratioSpan":10000000)";
  return site;
}
// A small deployment of emoval-centro.
inline SiteSettings emoval_centro() {
  SiteSettings site;
  site.classes = {{.name = "plate-lookup", .slo_ms = 1500, .give_up_ms = 7500, .threads = 1, .stretch = 2},
                  {.name = "registry-report",
                   .slo_ms = 1500,
                   .give_up_ms = 25000,
                   .threads = 2,
                   .stretch = 2.5,
                   .worth = 3},
                  {.name = "inspection-load",
                   .repeat = "token",
                   .extra = R"(,"byArrival":true)",
                   .slo_ms = 4000,
                   .give_up_ms = 25000,
                   .threads = 2,
                   .stretch = 2.5,
                   .worth = 2.5}};
  site.obligations = R"(,"orderPause":300000)";
  site.max_attempts = 3, site.tells_every_ms = 0, site.max_retry_after_ms = 500;
  return site;
}

inline bool has_trouble() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}
// Opens record.txt in the folder of the case, and sets a limit of 115 seconds on the whole.
inline void begin(int count, char** arguments) {
  if (count != 2) cannot_run("give the folder of the case");
  now();
  ::signal(SIGPIPE, SIG_IGN);
  record.open(std::string(arguments[1]) + "/record.txt");
  record.line("case %s, trouble %s", arguments[1], has_trouble() ? "on" : "off");
  std::thread([] {
    sleep_until(115);
    cannot_run("it took over 115 seconds");
  }).detach();
}
// Tells the verdict: `broken` counts what broke the rule.
inline int verdict(std::size_t broken, const std::string& rule) {
  record.line("verdict: %s: %zu breaks", rule.c_str(), broken);
  std::printf("%s: %s (%zu)\n", rule.c_str(), broken ? "BROKEN" : "held", broken);
  return broken ? 1 : 0;
}

}  // namespace review
