// The errors that end an attempt to start, or a command: each kind a type of its own, which says what is
// wrong, where, and what an operator can do. A program's top prints both lines. It holds no state, and knows
// no package: everybody may use it.
//
// What is answered to a peer, and what a decision comes to, is no error of these: it has words of its own.
#pragma once

#include <array>
#include <cstddef>
#include <exception>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

namespace pearchute {

enum class ErrorKind {
  usage,          // a command line
  settings,       // a file of settings, INI
  configuration,  // a manager's configuration, JSON
  address,        // where something is reached, as written
  listening,      // a place to listen at
  selector,       // which instances are meant
  keys,           // certificates, keys and revocations
  message,        // what came over a wire, or a value in it
  system,         // what the machine did not give
  site,           // the laboratory's own small site
};

// By kind: its word, as docs/on-call.md lists it, and what helps where the place that found it knows no
// better.
struct ErrorWords {
  std::string_view word, remedy;
};
inline constexpr std::array<ErrorWords, 10> error_words = {{
    {"usage", "see --help for what is taken"},
    {"settings", "mend that line; --check looks at a file and starts nothing"},
    {"configuration", "mend the file, or name another; pearchuted --check FILE starts nothing"},
    {"address", "write unix:/path, or an address with its port, as the file's page says"},
    {"listening", "see what listens there (ss -lnp), end it or choose another place"},
    {"selector", "mend the expression at that column; docs/operating.md has the language"},
    {"keys", "look at the file with pearchutectl keys show, and issue it anew where it is broken"},
    {"message", "see which build speaks at the other end; both have to be of one major version"},
    {"system", "look at the limits and the disk of this machine, then start it again"},
    {"site", "look at the managers' logs in the folder that is named"},
}};

class Error : public std::exception {
 public:
  const char* what() const noexcept override { return line_.c_str(); }  // "where: what is wrong"
  ErrorKind kind() const { return kind_; }
  std::string_view word() const { return error_words[static_cast<std::size_t>(kind_)].word; }
  const std::string& wrong() const { return wrong_; }
  const std::string& where() const {
    return where_;
  }  // a file, a file:line, an address; empty: the words say it
  const std::string& remedy() const { return remedy_; }

 protected:
  Error(ErrorKind kind, std::string wrong, std::string where, std::string remedy)
      : kind_(kind),
        wrong_(std::move(wrong)),
        where_(std::move(where)),
        remedy_(remedy.empty() ? std::string(error_words[static_cast<std::size_t>(kind)].remedy)
                               : std::move(remedy)),
        line_(where_.empty() ? wrong_ : where_ + ": " + wrong_) {}

 private:
  ErrorKind kind_;
  std::string wrong_, where_, remedy_, line_;
};

template <ErrorKind Kind>
class ErrorOf : public Error {
 public:
  explicit ErrorOf(std::string wrong, std::string where = "", std::string remedy = "")
      : Error(Kind, std::move(wrong), std::move(where), std::move(remedy)) {}
  // The same, found within something else: a value of a line, a line of a file.
  static ErrorOf within(const std::string& where, const std::exception& inner) {
    const auto* fault = dynamic_cast<const Error*>(&inner);
    const bool knows_better =
        fault && fault->remedy() != error_words[static_cast<std::size_t>(fault->kind())].remedy;
    return ErrorOf(inner.what(), where, knows_better ? fault->remedy() : "");
  }
};

using UsageError = ErrorOf<ErrorKind::usage>;
using SettingsError = ErrorOf<ErrorKind::settings>;
using ConfigurationError = ErrorOf<ErrorKind::configuration>;
using AddressError = ErrorOf<ErrorKind::address>;
using ListeningError = ErrorOf<ErrorKind::listening>;
// The selector's own, with its column: ctl/selector.h.
using KeysError = ErrorOf<ErrorKind::keys>;
using MessageError = ErrorOf<ErrorKind::message>;
using SystemError = ErrorOf<ErrorKind::system>;
using TestClusterError = ErrorOf<ErrorKind::site>;

// The two lines at the top of a program: what is wrong, and what to do. Any other exception is a case that
// nobody thought of, and is told as one.
void print_error(std::ostream& to, std::string_view program, const std::exception& error);

}  // namespace pearchute
