#include "front/statement.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>

namespace pearchute::net {

namespace {

bool starts_name(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) || c == '_' || static_cast<unsigned char>(c) >= 0x80;
}
bool in_name(char c) { return starts_name(c) || std::isdigit(static_cast<unsigned char>(c)) || c == '$'; }

struct Token {
  enum Kind { name, quoted_name, dot, other, end } kind = end;
  std::string_view text;
};

class Lexer {
 public:
  explicit Lexer(std::string_view rest) : rest_(rest) {}

  Token next() {
    skip_blank_and_comments();
    if (rest_.empty()) return {};
    const char c = rest_.front();
    if (starts_name(c)) {
      std::size_t length = 1;
      while (length < rest_.size() && in_name(rest_[length])) ++length;
      const Token token{Token::name, rest_.substr(0, length)};
      // A letter or two right before a quote is a string's prefix: its quote comes next and is skipped.
      rest_.remove_prefix(length);
      return token;
    }
    if (std::isdigit(static_cast<unsigned char>(c))) {  // a number, its point included, is no name's dot
      std::size_t length = 1;
      while (length < rest_.size() && (in_name(rest_[length]) || rest_[length] == '.')) ++length;
      return take(Token::other, length);
    }
    if (c == '\'') return take(Token::other, quoted('\'', true));
    if (c == '"' || c == '`') {
      const std::size_t length = quoted(c, false);
      Token token = take(Token::quoted_name, length);
      token.text = token.text.substr(1, token.text.size() - std::min<std::size_t>(token.text.size(), 2));
      return token;
    }
    if (c == '[') {
      const std::size_t close = rest_.find(']');
      if (close != std::string_view::npos && close > 1 && starts_name(rest_[1])) {
        Token token = take(Token::quoted_name, close + 1);
        token.text = token.text.substr(1, close - 1);
        return token;
      }
    }
    if (c == '$') {
      if (const std::size_t length = dollar_quoted(); length > 0) return take(Token::other, length);
    }
    return take(c == '.' ? Token::dot : Token::other, 1);
  }

 private:
  Token take(Token::Kind kind, std::size_t length) {
    const Token token{kind, rest_.substr(0, length)};
    rest_.remove_prefix(length);
    return token;
  }

  // The length of what begins with this quote; a doubled quote stays inside, as does one after a backslash.
  std::size_t quoted(char quote, bool escapes) const {
    for (std::size_t i = 1; i < rest_.size(); ++i) {
      // NOLINTNEXTLINE(bugprone-branch-clone): a backslash and a doubled quote both escape the next character
      if (escapes && rest_[i] == '\\' && i + 1 < rest_.size()) ++i;
      else if (rest_[i] != quote) continue;
      else if (i + 1 < rest_.size() && rest_[i + 1] == quote) ++i;
      else return i + 1;
    }
    return rest_.size();
  }

  std::size_t dollar_quoted() const {
    std::size_t tag = 1;
    while (tag < rest_.size() && in_name(rest_[tag]) && rest_[tag] != '$') ++tag;
    if (tag >= rest_.size() || rest_[tag] != '$') return 0;
    const std::size_t close = rest_.find(rest_.substr(0, tag + 1), tag + 1);
    return close == std::string_view::npos ? rest_.size() : close + tag + 1;
  }

  void skip_blank_and_comments() {
    while (!rest_.empty()) {
      if (std::isspace(static_cast<unsigned char>(rest_.front()))) {
        rest_.remove_prefix(1);
      } else if (rest_.starts_with("--") || rest_.front() == '#') {
        rest_.remove_prefix(std::min(rest_.find('\n'), rest_.size()));
      } else if (rest_.starts_with("/*")) {
        std::size_t depth = 1, at = 2;  // they nest in some dialects
        while (at < rest_.size() && depth > 0) {
          if (rest_.substr(at, 2) == "*/") --depth, at += 2;
          else if (rest_.substr(at, 2) == "/*") ++depth, at += 2;
          else ++at;
        }
        rest_.remove_prefix(std::min(at, rest_.size()));
      } else {
        return;
      }
    }
  }

  std::string_view rest_;
};

std::string lower(std::string_view text) {
  std::string result(text);
  for (char& c : result) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return result;
}

std::optional<std::int64_t> number_of(std::string_view schema) {
  if (lower(schema) == "staging") return std::nullopt;
  const std::size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore + 1 == schema.size()) return std::nullopt;
  std::int64_t number = 0;
  const char* last = schema.data() + schema.size();
  const auto [stop, error] = std::from_chars(schema.data() + underscore + 1, last, number);
  if (error != std::errc{} || stop != last || number < 0) return std::nullopt;
  return number;
}

}  // namespace

std::optional<std::int64_t> table_group(std::string_view statement) {
  // Words after which a table stands: a qualified name there beats one elsewhere, which may be an alias's
  // column.
  constexpr std::array<std::string_view, 7> before_table = {"from",  "join",      "into", "update",
                                                            "table", "overwrite", "only"};
  Lexer lexer(statement);
  std::optional<std::int64_t> elsewhere;
  bool table_next = false;
  Token token = lexer.next();
  while (token.kind != Token::end) {
    if (token.kind != Token::name && token.kind != Token::quoted_name) {
      if (token.kind != Token::other || token.text != ",") table_next = false;
      // A name behind a dot belongs to what stands before it.
      const bool after_dot = token.kind == Token::dot;
      token = lexer.next();
      if (after_dot && (token.kind == Token::name || token.kind == Token::quoted_name)) token = lexer.next();
      continue;
    }
    const Token schema = token;
    token = lexer.next();
    if (token.kind == Token::dot) {
      const auto number = number_of(schema.text);
      if (number && table_next) return number;
      if (number && !elsewhere) elsewhere = number;
    } else if (schema.kind == Token::name) {
      if (std::ranges::count(before_table, lower(schema.text))) table_next = true;
    }
  }
  return elsewhere;
}

}  // namespace pearchute::net
