// The kinds of errors: an error states what is wrong, where, and what to do, keeps this when it is rethrown
// with more context, and docs/on-call.md lists exactly the keys of all kinds.
#include <cassert>
#include <fstream>
#include <set>
#include <sstream>

#include "errors/error.h"
#include "ini/reader.h"
#include "keys/endpoint.h"

using namespace pearchute;

template <class Action>
std::string printed_error(Action action) {
  std::ostringstream printed;
  try {
    action();
  } catch (const std::exception& error) {
    print_error(printed, "p", error);
  }
  return printed.str();
}

void page_lists_all_kinds() {
  std::set<std::string> expected = {"unforeseen"}, listed;
  for (const ErrorTexts& texts : error_texts) {
    assert(!texts.key.empty() && !texts.remedy.empty());
    assert(expected.insert(std::string(texts.key)).second);
  }
  assert(error_texts.size() == static_cast<std::size_t>(ErrorKind::test_cluster) + 1);
  std::ifstream page(ON_CALL);
  bool in_section = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("## ")) in_section = line == "## Errors";
    if (in_section && line.starts_with("| `")) listed.insert(line.substr(3, line.find('`', 3) - 3));
  }
  assert(listed == expected);
}

void prints_two_lines() {
  const std::string default_remedy(error_texts[static_cast<std::size_t>(ErrorKind::keys)].remedy);
  assert(printed_error([] { throw KeysError("broken", "a.pem"); }) ==
         "p: a.pem: broken\np: keys: " + default_remedy + "\n");
  assert(printed_error([] { throw SystemError("no pipe", "", "try again"); }) ==
         "p: no pipe\np: system: try again\n");
  assert(printed_error([] { throw std::logic_error("x"); }).starts_with("p: x\np: unforeseen: "));
}

// ini::read adds the file and line to an error, and keeps a specific remedy.
void keeps_remedy_when_rethrown() {
  const std::string file = "test_faults.ini";
  std::ofstream(file) << "[a]\nb = unix:c\n";
  const auto read_it = [&](auto value) {
    return printed_error(
        [&] { ini::read(file, [&](const auto&, const auto&, const std::string& t) { value(t); }); });
  };
  assert(read_it([](const std::string& text) { keys::parse_endpoint(text); })
             .starts_with(
                 "p: test_faults.ini:2: 'unix:c' is neither unix:/path nor tls:host:port\np: settings: "));
  assert(read_it([](const std::string&) { throw AddressError("far", "", "come nearer"); }) ==
         "p: test_faults.ini:2: far\np: settings: come nearer\n");
  assert(printed_error([] {
           ini::read("/nowhere/x.ini", {});
         }).starts_with("p: /nowhere/x.ini: can't be read\n"));
  std::remove(file.c_str());
}

int main() {
  page_lists_all_kinds();
  prints_two_lines();
  keeps_remedy_when_rethrown();
}
