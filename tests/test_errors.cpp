// The kinds of errors: each says what is wrong, where and what to do, keeps that on its way up, and stands in
// the page for those on call, which lists no other.
#include <cassert>
#include <fstream>
#include <set>
#include <sstream>

#include "errors/error.h"
#include "ini/reader.h"
#include "keys/endpoint.h"

using namespace pearchute;

template <class What>
std::string told_by(What what) {
  std::ostringstream told;
  try {
    what();
  } catch (const std::exception& error) {
    print_error(told, "p", error);
  }
  return told.str();
}

void page_and_kinds_agree() {
  std::set<std::string> kinds = {"unforeseen"}, listed;
  for (const ErrorWords& one : error_words) {
    assert(!one.word.empty() && !one.remedy.empty());
    assert(kinds.insert(std::string(one.word)).second);
  }
  assert(error_words.size() == static_cast<std::size_t>(ErrorKind::site) + 1);
  std::ifstream page(ON_CALL);
  bool within = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("## ")) within = line == "## Errors";
    if (within && line.starts_with("| `")) listed.insert(line.substr(3, line.find('`', 3) - 3));
  }
  assert(listed == kinds);
}

void two_lines() {
  const std::string usual(error_words[static_cast<std::size_t>(ErrorKind::keys)].remedy);
  assert(told_by([] { throw KeysError("broken", "a.pem"); }) == "p: a.pem: broken\np: keys: " + usual + "\n");
  assert(told_by([] { throw SystemError("no pipe", "", "try again"); }) ==
         "p: no pipe\np: system: try again\n");
  assert(told_by([] { throw std::logic_error("x"); }).starts_with("p: x\np: unforeseen: "));
}

// Found deep within, a fault gets its place on the way up, and keeps what it knows of the way out.
void on_the_way_up() {
  const std::string file = "test_faults.ini";
  std::ofstream(file) << "[a]\nb = unix:c\n";
  const auto read_it = [&](auto value) {
    return told_by(
        [&] { ini::read(file, [&](const auto&, const auto&, const std::string& t) { value(t); }); });
  };
  assert(read_it([](const std::string& text) { keys::parse_endpoint(text); })
             .starts_with(
                 "p: test_faults.ini:2: 'unix:c' is neither unix:/path nor tls:host:port\np: settings: "));
  assert(read_it([](const std::string&) { throw AddressError("far", "", "come nearer"); }) ==
         "p: test_faults.ini:2: far\np: settings: come nearer\n");
  assert(told_by([] { ini::read("/nowhere/x.ini", {}); }).starts_with("p: /nowhere/x.ini: can't be read\n"));
  std::remove(file.c_str());
}

int main() {
  page_and_kinds_agree();
  two_lines();
  on_the_way_up();
}
