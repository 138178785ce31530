// The admin channel without a socket: frames and sessions with input split at any byte and with corrupted
// input, the orders file after kills at each stage of a write and after damage, the INI files with
// their addresses, and the selector language.
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <random>

#include "admin.pb.h"
#include "admin/admin_config.h"
#include "admin/directives_file.h"
#include "admin/endpoint.h"
#include "admin/frames.h"
#include "admin/session.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"
#include "ctl/selector.h"
#include "ini/reader.h"

using namespace pearchute;
using namespace pearchute::admin;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string folder;

struct CountingHandler final : CallHandler {
  int answers = 0;
  void answer(const v1::Call& call, v1::Reply& reply) override {
    ++answers;
    if (call.has_who()) reply.mutable_identity()->set_name("n1");
    if (call.has_jobs()) {
      // More than fits into a frame.
      for (int i = 0; i < 4000; ++i)
        reply.mutable_jobs()->add_jobs()->set_id("0123456789abcdef0123456789abcdef");
    }
    if (call.has_watch()) reply.mutable_identity();
  }
  std::vector<v1::Event> events_after(std::uint64_t after) const override {
    std::vector<v1::Event> events(2);
    for (v1::Event& event : events) event.set_number(++after);
    return events;
  }
};

std::string framed(const v1::Call& call) {
  std::string message, out;
  call.SerializeToString(&message);
  append_frame(out, message);
  return out;
}

std::vector<v1::Reply> replies_in(const std::string& bytes) {
  std::vector<v1::Reply> replies;
  FrameReader reader;
  assert(reader.feed(bytes, [&](std::string_view message) {
    assert(message.size() <= max_frame_bytes);
    return replies.emplace_back().ParseFromArray(message.data(), static_cast<int>(message.size()));
  }));
  assert(!reader.has_partial_message());
  return replies;
}

v1::Call who(std::uint64_t number) {
  v1::Call call;
  call.set_number(number);
  call.mutable_who();
  return call;
}

void sessions() {
  {  // Split at any byte.
    const std::string bytes = framed(who(1)) + framed(who(2));
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      CountingHandler handler;
      Session session(handler);
      std::string out;
      assert(session.feed(std::string_view(bytes).substr(0, cut)) &&
             session.feed(std::string_view(bytes).substr(cut)));
      session.answer_pending(0, out);
      assert(!session.has_pending_calls());
      const auto replies = replies_in(out);
      assert(replies.size() == 2 && replies[1].number() == 2 && replies[1].identity().name() == "n1");
    }
  }
  {  // From newer and older peers: an unknown call gets a reply, an unknown field is ignored.
    CountingHandler handler;
    Session session(handler);
    std::string out, unknown("\x08\x07\xfa\x07\x00", 5), more;  // call number 7, with an empty field 127
    append_frame(more, unknown);
    std::string with_more;
    who(8).SerializeToString(&with_more);
    append_frame(more, with_more + std::string("\xfa\x07\x00", 3));
    append_frame(more, "\xff\xff\xff");
    assert(session.feed(more));
    session.answer_pending(0, out);
    const auto replies = replies_in(out);
    assert(replies.size() == 3 && replies[0].outcome() == v1::unknown_call && replies[0].number() == 7);
    assert(replies[1].outcome() == v1::ok && replies[2].outcome() == v1::unusable && handler.answers == 1);
  }
  {  // Limits: a huge length, an empty message, too many pending calls, a reply that is too large.
    for (const std::string& noise :
         {std::string("\xff\xff\xff\xff"), std::string(4, '\0'), std::string("GET / HTTP")}) {
      CountingHandler handler;
      assert(!Session(handler).feed(noise));
    }
    CountingHandler handler;
    Session session(handler);
    std::string many, out;
    for (std::size_t i = 0; i <= Session::max_pending_calls; ++i) many += framed(who(i));
    assert(!session.feed(many));
    Session bounded(handler);
    many.clear();
    for (std::uint64_t i = 0; i < 20; ++i) many += framed(who(i));
    assert(bounded.feed(many));
    bounded.answer_pending(0, out), bounded.answer_pending(Session::max_unread_bytes + 1, out);
    assert(handler.answers == Session::max_calls_per_turn && bounded.has_pending_calls());
    bounded.answer_pending(0, out), bounded.answer_pending(0, out);
    assert(!bounded.has_pending_calls() && replies_in(out).size() == 20);
    v1::Call jobs;
    jobs.mutable_jobs();
    out.clear();
    assert(bounded.feed(framed(jobs)));
    bounded.answer_pending(0, out);
    assert(replies_in(out)[0].outcome() == v1::busy);
  }
  {  // A watch with a slow reader loses events, and the next event has the count of lost ones.
    CountingHandler handler;
    Session session(handler);
    std::string out;
    v1::Call watch;
    watch.set_number(9), watch.mutable_watch();
    v1::Event event;
    session.send_event(event, 0, out);
    watch.mutable_watch()->set_after(40);
    assert(out.empty() && session.feed(framed(watch)));
    session.answer_pending(0, out);
    // Missed events follow the reply, and are sent on this connection only.
    const auto first = replies_in(out);
    assert(session.is_watching() && first.size() == 3 && first[1].event().number() == 41 &&
           first[2].number() == 9);
    out.clear();
    for (std::uint64_t number = 1; number <= 5; ++number) {
      event.set_number(number);
      session.send_event(event, number >= 2 && number <= 4 ? max_frame_bytes : 0, out);
    }
    const auto replies = replies_in(out);
    assert(replies.size() == 2 && replies[0].event().lost() == 0 && replies[0].number() == 9);
    assert(replies[1].event().number() == 5 && replies[1].event().lost() == 3);
  }
  for (unsigned seed = 1; seed <= 3000; ++seed) {  // Valid calls with random bytes changed
    std::knuth_b chance(seed);
    std::string bytes = framed(who(seed)) + framed(who(seed + 1));
    for (unsigned i = 0; i <= seed % 4; ++i) bytes[chance() % bytes.size()] = static_cast<char>(chance());
    CountingHandler handler;
    Session session(handler);
    std::string out;
    if (session.feed(bytes)) session.answer_pending(0, out);
    replies_in(out);
  }
}

fleet::ActiveDirective active_directive(const std::string& id, const std::string& subject,
                                        std::uint64_t generation, bool drains = true) {
  return {
      {id, subject, "ann", generation, drains, false, seconds(60), "why"}, fleet::Duration(0), seconds(60)};
}

void directives_file() {
  const std::string path = folder + "/orders";
  const milliseconds now(1'700'000'000'000);
  std::string fault;
  DirectivesFile file(path);
  assert(!file.read(now).damaged && file.read(now).directives.empty());
  assert(file.write(
      {active_directive("1", "a", 3), active_directive("2", "", 4), active_directive("3", "b", 5, false)},
      fleet::Duration(0), now, fault));
  const auto found = file.read(now + seconds(20));
  assert(!found.damaged && found.directives.size() == 3 && found.directives[0].remaining == seconds(40));
  assert(found.directives[0].directive.subject == "a" && found.directives[0].directive.generation == 3 &&
         found.directives[1].directive.subject.empty() && !found.directives[2].directive.drains);
  assert(file.read(now + seconds(61)).directives[0].remaining < fleet::Duration(0));

  // The maximum number of directives, each of maximum length, can be read back.
  std::vector<fleet::ActiveDirective> largest(fleet::Drains::max_directives, active_directive("1", "a", 3));
  for (auto& active : largest) {
    active.order.id = active.order.subject = active.order.holder =
        std::string(fleet::Drains::max_name_bytes, 'x');
    active.order.reason = std::string(fleet::Drains::max_reason_bytes, 'x');
  }
  assert(file.write(largest, fleet::Duration(0), now, fault));
  assert(file.read(now).directives.size() == fleet::Drains::max_directives);

  // A kill at each stage leaves either the old or the new directives.
  for (const WriteStage stage : all_write_stages) {
    assert(file.write({active_directive("old", "a", 1)}, fleet::Duration(0), now, fault));
    const pid_t child = fork();
    if (child == 0) {
      // A stage that is never reached shows as another exit status.
      DirectivesFile dying(path, [&](WriteStage reached) {
        if (reached == stage) _exit(9);
      });
      dying.write({active_directive("new", "a", 2), active_directive("more", "b", 2)}, fleet::Duration(0),
                  now, fault);
      _exit(1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 9);
    const auto after = file.read(now);
    assert(!after.damaged);
    const bool renamed = stage == WriteStage::renamed || stage == WriteStage::folder_synced;
    assert(after.directives.size() == (renamed ? 2u : 1u) &&
           after.directives[0].directive.id == (renamed ? "new" : "old"));
  }
  // A damaged file is reported and renamed, and none of its content is used.
  std::ifstream whole(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(whole), {}};
  for (std::size_t length = 0; length < text.size(); ++length) {
    std::ofstream(path, std::ios::binary) << text.substr(0, length);
    const auto cut = file.read(now);
    assert(cut.damaged && cut.directives.empty() && access(path.c_str(), F_OK) != 0);
  }
  for (std::size_t at = 0; at < text.size(); ++at) {
    std::string changed = text;
    changed[at] = static_cast<char>(changed[at] ^ 0x20);
    std::ofstream(path, std::ios::binary) << changed;
    assert(file.read(now).damaged);
  }
  // A failed write returns the reason.
  assert(!DirectivesFile(folder + "/nowhere/orders").write({}, fleet::Duration(0), now, fault) &&
         !fault.empty());
}

std::string write(const std::string& name, const std::string& text) {
  std::ofstream(folder + "/" + name) << text;
  return folder + "/" + name;
}

template <class Read>
std::string fault_of(Read read) {
  try {
    read();
  } catch (const std::exception& fault) {
    return fault.what();
  }
  return "";
}

void configuration_files() {
  struct Case {
    const char* text;
    const char* fault;  // after the name of the file; empty: the file is valid
  };
  const Case admin_files[] = {
      {"[admin]\nlisten = unix:/run/x.sock\n", ""},
      {"; a comment\n[admin]\nlisten = 127.0.0.1:900\nconnections = 4\nwatchers = 2\nidle_s = 5\n", ""},
      {"[admin]\nconnections = 4\n", ": 'listen' is missing in [admin]"},
      {"[admin]\nlisten = 10.0.0.1:900\n", ":2: '10.0.0.1:900' is not a loopback address"},
      {"[admin]\nlisten = unix:x\n", ":2: the path of 'unix:x' must be absolute"},
      {"[admin]\nlisten = 127.0.0.1:900\n\nconnections = 0\n",
       ":4: 'connections': expected an integer from 1 to 64, got '0'"},
      {"[admin]\nlisten = 127.0.0.1:900\nconnections = four\n",
       ":3: 'connections': expected an integer from 1 to 64, got 'four'"},
      {"[admin]\nlisten = 127.0.0.1:900\nlisten = 127.0.0.1:901\n", ":3: 'listen' is set twice in [admin]"},
      {"[admin]\nlisten = 127.0.0.1:900\nhear = x\n", ":3: unknown setting 'hear' in [admin]"},
      {"[amin]\nlisten = 127.0.0.1:900\n", ":2: unknown section [amin]; expected [admin]"},
      {"[admin]\nwhat is this\n", ":2: expected [section] or name = value"},
  };
  for (const Case& c : admin_files) {
    const std::string file = write("terms.ini", c.text);
    const std::string fault = fault_of([&] { read_admin_config(file); });
    if (fault != (*c.fault ? file + c.fault : "")) std::fprintf(stderr, "%s\n", fault.c_str());
    assert(fault == (*c.fault ? file + c.fault : ""));
  }
  const Case fleets[] = {
      {"[instance a]\nadmin = 127.0.0.1:1\nzone = x\nlabels = tier=gold, spare\n", ""},
      {"[fleet]\nparallel = 4\n", ": the file has no [instance NAME]"},
      {"[instance a]\nzone = x\n", ": instance a has no 'admin'"},
      {"[instance a]\nadmin = 127.0.0.1:1\n[instance b]\nadmin = 127.0.0.1:1\n",
       ":4: another instance already has the admin address 127.0.0.1:1"},
      {"[instance a]\nadmin = 127.0.0.1:1\nlabels = =x\n",
       ":3: invalid label '=x': expected a comma-separated list of NAME or NAME=VALUE"},
      {"[instance a b]\nadmin = 127.0.0.1:1\n",
       ":2: invalid instance name 'a b': a name has at least one character and no blanks"},
  };
  for (const Case& c : fleets) {
    const std::string file = write("fleet.ini", c.text);
    const std::string fault = fault_of([&] { ctl::read_fleet(file); });
    if (fault != (*c.fault ? file + c.fault : "")) std::fprintf(stderr, "%s\n", fault.c_str());
    assert(fault == (*c.fault ? file + c.fault : ""));
  }
  const auto fleet = ctl::read_fleet(write("fleet.ini", fleets[0].text));
  assert(fleet.instances[0].facts.labels.at("tier") == "gold" &&
         fleet.instances[0].facts.labels.contains("spare"));
  assert(!fault_of([] { read_admin_config("/nowhere.ini"); }).empty());
}

void selectors() {
  const ctl::Facts one{"n31", "hall-a", "127.0.0.1:1", {{"tier", "gold"}}},
      other{"n2", "hall-b", "127.0.0.1:2", {}};
  struct Case {
    const char* text;
    bool selects_one, selects_other;
    std::size_t column;  // of the fault; 0: the selector is valid
  };
  const Case cases[] = {
      {"", true, true, 0},
      {"zone = hall-a", true, false, 0},
      {"zone = hall-a and not name ~ n3*", false, false, 0},
      {"name in {n2, n31}", true, true, 0},
      {"label.tier", true, false, 0},
      {"not label.tier", false, true, 0},
      {"label.tier != gold", false, true, 0},
      {"label.tier !~ g*", false, true, 0},
      {"zone = \"hall-b\" or label.tier = gold and name = n31", true, true, 0},
      {"(zone = hall-b or label.tier = gold) and name = n31", true, false, 0},
      {"not (not admin ~ *:1)", true, false, 0},
      {"android = 1", false, false, 1},
      {"name", false, false, 1},
      {"name =", false, false, 7},
      {"name in n2", false, false, 9},
      {"name in {n2", false, false, 12},
      {"(name = n2", false, false, 11},
      {"name = n2 and", false, false, 14},
      {"name = n2 zone = x", false, false, 11},
      {"name = \"n2", false, false, 8},
      {"not", false, false, 4},
      {")", false, false, 1},
  };
  for (const Case& c : cases) {
    std::size_t column = 0;
    try {
      const ctl::Selector selector = ctl::parse_selector(c.text);
      assert(selector(one) == c.selects_one && selector(other) == c.selects_other);
    } catch (const ctl::SelectorError& fault) {
      column = fault.column;
      assert(fault.wrong().starts_with("expected "));
    }
    if (column != c.column) std::fprintf(stderr, "%s: column %zu\n", c.text, column);
    assert(column == c.column);
  }
  // The deepest nesting that the length limit allows, and a selector over the limit.
  const std::string deep = std::string(250, '(') + "name = n2" + std::string(250, ')');
  assert(ctl::parse_selector(deep)(other));
  assert(!fault_of([&] { ctl::parse_selector("not " + std::string(600, '(')); }).empty());
  const ctl::Rows rows = {{{"a", "x"}, {"b", 1.5}}, {{"a", "longer"}, {"c", true}}};
  assert(ctl::table(rows, {"a", "b", "c"}) == "a       b     c\nx       1.50\nlonger        yes\n");
}

int main() {
  char name[] = "/tmp/pearchute-admin-XXXXXX";
  assert(mkdtemp(name));
  folder = name;
  sessions();
  directives_file();
  configuration_files();
  selectors();
  for (const char* file : {"orders", "orders.new", "orders.damaged", "terms.ini", "fleet.ini"})
    unlink((folder + "/" + file).c_str());
  rmdir(folder.c_str());
}
