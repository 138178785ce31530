#include "front/statement.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>

namespace pearchute::net {

namespace {

bool is_name_start(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) || c == '_' || static_cast<unsigned char>(c) >= 0x80;
}
bool is_name_char(char c) {
  return is_name_start(c) || std::isdigit(static_cast<unsigned char>(c)) || c == '$';
}

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
    if (is_name_start(c)) {
      std::size_t length = 1;
      while (length < rest_.size() && is_name_char(rest_[length])) ++length;
      const Token token{Token::name, rest_.substr(0, length)};
      // The prefix of a string, e.g. E'...', is returned as a name; the string itself is the next token.
      rest_.remove_prefix(length);
      return token;
    }
    if (std::isdigit(static_cast<unsigned char>(c))) {  // the point of a number is no dot between names
      std::size_t length = 1;
      while (length < rest_.size() && (is_name_char(rest_[length]) || rest_[length] == '.')) ++length;
      return consume(Token::other, length);
    }
    if (c == '\'') return consume(Token::other, quoted_length('\'', true));
    if (c == '"' || c == '`') {
      const std::size_t length = quoted_length(c, false);
      Token token = consume(Token::quoted_name, length);
      token.text = token.text.substr(1, token.text.size() - std::min<std::size_t>(token.text.size(), 2));
      return token;
    }
    if (c == '[') {
      const std::size_t end = rest_.find(']');
      if (end != std::string_view::npos && end > 1 && is_name_start(rest_[1])) {
        Token token = consume(Token::quoted_name, end + 1);
        token.text = token.text.substr(1, end - 1);
        return token;
      }
    }
    if (c == '$') {
      if (const std::size_t length = dollar_quoted_length(); length > 0) return consume(Token::other, length);
    }
    return consume(c == '.' ? Token::dot : Token::other, 1);
  }

 private:
  Token consume(Token::Kind kind, std::size_t length) {
    const Token token{kind, rest_.substr(0, length)};
    rest_.remove_prefix(length);
    return token;
  }

  // Returns the length of the quoted text at the front. A doubled quote, and a quote after a backslash where
  // `escapes` is set, don't end it.
  std::size_t quoted_length(char quote, bool escapes) const {
    for (std::size_t i = 1; i < rest_.size(); ++i) {
      // NOLINTNEXTLINE(bugprone-branch-clone): a backslash and a doubled quote both escape the next character
      if (escapes && rest_[i] == '\\' && i + 1 < rest_.size()) ++i;
      else if (rest_[i] != quote) continue;
      else if (i + 1 < rest_.size() && rest_[i + 1] == quote) ++i;
      else return i + 1;
    }
    return rest_.size();
  }

  std::size_t dollar_quoted_length() const {
    std::size_t tag = 1;
    while (tag < rest_.size() && is_name_char(rest_[tag]) && rest_[tag] != '$') ++tag;
    if (tag >= rest_.size() || rest_[tag] != '$') return 0;
    const std::size_t end = rest_.find(rest_.substr(0, tag + 1), tag + 1);
    return end == std::string_view::npos ? rest_.size() : end + tag + 1;
  }

  void skip_blank_and_comments() {
    while (!rest_.empty()) {
      if (std::isspace(static_cast<unsigned char>(rest_.front()))) {
        rest_.remove_prefix(1);
      } else if (rest_.starts_with("--") || rest_.front() == '#') {
        rest_.remove_prefix(std::min(rest_.find('\n'), rest_.size()));
      } else if (rest_.starts_with("/*")) {
        std::size_t depth = 1, at = 2;  // comments nest in some dialects
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

std::optional<std::int64_t> table_group_of(std::string_view schema) {
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
  // The keywords before a table name. A qualified name after one of them takes precedence over the first one
  // in another place, which may be a column of an alias.
  constexpr std::array<std::string_view, 7> before_table = {"from",  "join",      "into", "update",
                                                            "table", "overwrite", "only"};
  Lexer lexer(statement);
  std::optional<std::int64_t> fallback;
  bool expects_table = false;
  Token token = lexer.next();
  while (token.kind != Token::end) {
    if (token.kind != Token::name && token.kind != Token::quoted_name) {
      if (token.kind != Token::other || token.text != ",") expects_table = false;
      // A name after a dot belongs to the name before the dot.
      const bool after_dot = token.kind == Token::dot;
      token = lexer.next();
      if (after_dot && (token.kind == Token::name || token.kind == Token::quoted_name)) token = lexer.next();
      continue;
    }
    const Token schema = token;
    token = lexer.next();
    if (token.kind == Token::dot) {
      const auto number = table_group_of(schema.text);
      if (number && expects_table) return number;
      if (number && !fallback) fallback = number;
    } else if (schema.kind == Token::name) {
      if (std::ranges::count(before_table, lower(schema.text))) expects_table = true;
    }
  }
  return fallback;
}

}  // namespace pearchute::net
