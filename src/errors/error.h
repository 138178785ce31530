// The errors that end a command or the start of a program. Each kind has a type of its own, and each error
// states what is wrong, where, and what an operator can do about it. The main function prints these as two
// lines. This header depends on no other package, so that all of them may use it.
//
// Answers to a peer and results of decisions are not errors of these kinds; they are defined where they are
// sent.
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
  settings,       // an INI file of settings
  configuration,  // the JSON configuration of a manager
  address,        // the text form of an address
  listening,      // an address to listen at
  selector,       // an expression that selects instances
  keys,           // certificates, private keys and revocation lists
  message,        // a received message, or a value in it
  system,         // a failed system call or a missing resource of the machine
  test_cluster,   // the laboratory's cluster of local processes
};

// The texts of a kind: its key, as docs/on-call.md lists it, and the remedy for errors that have no more
// specific one.
struct ErrorTexts {
  std::string_view key, remedy;
};
// In the order of ErrorKind.
inline constexpr std::array<ErrorTexts, 10> error_texts = {{
    {"usage", "run it with --help to see the accepted arguments"},
    {"settings", "correct that line; --check validates a file without starting anything"},
    {"configuration",
     "correct the file, or name another one; pearchuted --check FILE validates it without starting"},
    {"address", "write unix:/path, or an address with its port, as documented for that file"},
    {"listening", "find the process that listens there (ss -lnp), then end it or choose another address"},
    {"selector", "correct the expression at that column; docs/operating.md describes the language"},
    {"keys", "inspect the file with pearchutectl keys show, and issue it again if it is damaged"},
    {"message", "check the build at the other end; both must have the same major version"},
    {"system", "check the limits and the disk of this machine, then start again"},
    {"site", "check the managers' logs in the named folder"},
}};

// The base of all these errors.
class Error : public std::exception {
 public:
  // "where: what is wrong", or only the latter if the place is empty.
  const char* what() const noexcept override { return line_.c_str(); }
  ErrorKind kind() const { return kind_; }
  std::string_view key() const { return error_texts[static_cast<std::size_t>(kind_)].key; }
  const std::string& wrong() const { return wrong_; }
  // A file, a file:line or an address; empty if the message itself states the place.
  const std::string& where() const { return where_; }
  const std::string& remedy() const { return remedy_; }

 protected:
  Error(ErrorKind kind, std::string wrong, std::string where, std::string remedy)
      : kind_(kind),
        wrong_(std::move(wrong)),
        where_(std::move(where)),
        remedy_(remedy.empty() ? std::string(error_texts[static_cast<std::size_t>(kind)].remedy)
                               : std::move(remedy)),
        line_(where_.empty() ? wrong_ : where_ + ": " + wrong_) {}

 private:
  ErrorKind kind_;
  std::string wrong_, where_, remedy_, line_;
};

// The error type of one kind.
template <ErrorKind Kind>
class ErrorOf : public Error {
 public:
  explicit ErrorOf(std::string wrong, std::string where = "", std::string remedy = "")
      : Error(Kind, std::move(wrong), std::move(where), std::move(remedy)) {}
  // An error of this kind with the message of `inner` and the place `where` that contains it, such as
  // file:line for an unusable value. Keeps the remedy of `inner` if it is more specific than that of its
  // kind.
  static ErrorOf within(const std::string& where, const std::exception& inner) {
    const auto* error = dynamic_cast<const Error*>(&inner);
    const bool has_specific_remedy =
        error && error->remedy() != error_texts[static_cast<std::size_t>(error->kind())].remedy;
    return ErrorOf(inner.what(), where, has_specific_remedy ? error->remedy() : "");
  }
};

using UsageError = ErrorOf<ErrorKind::usage>;
using SettingsError = ErrorOf<ErrorKind::settings>;
using ConfigurationError = ErrorOf<ErrorKind::configuration>;
using AddressError = ErrorOf<ErrorKind::address>;
using ListeningError = ErrorOf<ErrorKind::listening>;
// The error type of ErrorKind::selector, which also has the column, is in ctl/selector.h.
using KeysError = ErrorOf<ErrorKind::keys>;
using MessageError = ErrorOf<ErrorKind::message>;
using SystemError = ErrorOf<ErrorKind::system>;
using TestClusterError = ErrorOf<ErrorKind::test_cluster>;

// Prints two lines: what is wrong, and what to do about it. An exception of any other type is an unexpected
// case, and is printed as unforeseen.
void print_error(std::ostream& to, std::string_view program, const std::exception& error);

}  // namespace pearchute
