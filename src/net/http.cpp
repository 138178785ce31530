#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace pearchute::net {

namespace {

// Limits far above the needs of the protocol, and low enough for all connections together to fit into memory.
constexpr std::size_t max_head_bytes = 16 * 1024;
constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr std::size_t max_headers = 100;  // each needs more memory than its bytes

bool is_token_char(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

std::string lower(std::string_view text) {
  std::string result(text);
  for (char& c : result) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return result;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool read_size(std::string_view text, int base, std::size_t& size) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), size, base);
  return !text.empty() && error == std::errc{} && stop == text.data() + text.size();
}

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

std::string_view Message::header(std::string_view lower_name) const {
  for (const auto& [name, value] : headers) {
    if (name == lower_name) return value;
  }
  return {};
}

bool MessageReader::read_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view part = bytes.substr(0, end);
  line_.append(part);
  head_bytes_ += part.size() + 1;
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  if (end == std::string_view::npos) return false;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): one case for each state of the parser
MessageReader::Status MessageReader::feed(std::string_view& bytes) {
  while (state_ != State::whole && !bytes.empty()) {
    switch (state_) {
      case State::first_line:
      case State::headers:
      case State::trailers:
      case State::chunk_size:
      case State::chunk_end: {
        if (!read_line(bytes)) {
          if (line_.size() > max_head_bytes || head_bytes_ > max_head_bytes) return Status::too_large;
          break;
        }
        if (head_bytes_ > max_head_bytes) return Status::too_large;
        if (line_.find('\0') != std::string::npos || line_.find('\r') != std::string::npos)
          return Status::malformed;
        if (state_ == State::first_line) {
          if (line_.empty()) break;  // some clients send an empty line between messages
          message_.first_line = std::move(line_);
          state_ = State::headers;
        } else if (state_ == State::headers) {
          const Status status = line_.empty() ? on_head_end() : parse_header();
          if (status != Status::more) return status;
        } else if (state_ == State::trailers) {
          if (line_.empty()) state_ = State::whole;
        } else if (state_ == State::chunk_end) {
          if (!line_.empty()) return Status::malformed;
          state_ = State::chunk_size;
        } else {
          head_bytes_ = 0;
          const std::string_view size = trimmed(std::string_view(line_).substr(0, line_.find(';')));
          if (!read_size(size, 16, remaining_bytes_)) return Status::malformed;
          if (remaining_bytes_ > max_body_bytes && side_ == Side::requests) return Status::too_large;
          state_ = remaining_bytes_ > 0 ? State::chunk : State::trailers;
        }
        line_.clear();
        break;
      }
      case State::body:
      case State::chunk:
      case State::until_end: {
        const std::size_t part =
            state_ == State::until_end ? bytes.size() : std::min(remaining_bytes_, bytes.size());
        if (message_.body.size() + part > max_body_bytes) return Status::too_large;
        message_.body.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        if (state_ != State::until_end && (remaining_bytes_ -= part) == 0)
          state_ = state_ == State::body ? State::whole : State::chunk_end;
        break;
      }
      case State::whole:
        break;
    }
  }
  return state_ == State::whole ? Status::whole : Status::more;
}

MessageReader::Status MessageReader::parse_header() {
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) return Status::malformed;
  const std::string_view name = std::string_view(line_).substr(0, colon);
  if (!std::ranges::all_of(name, is_token_char) || message_.headers.size() >= max_headers)
    return Status::malformed;
  head_bytes_total_ += line_.size();
  message_.headers.emplace_back(lower(name), trimmed(std::string_view(line_).substr(colon + 1)));
  return Status::more;
}

MessageReader::Status MessageReader::on_head_end() {
  head_bytes_ = 0;
  // Guards against request smuggling, where two parsers see different requests: repeated headers must be
  // equal.
  for (auto one = message_.headers.begin(); one != message_.headers.end(); ++one) {
    for (auto other = message_.headers.begin(); other != one; ++other) {
      if (other->first == one->first && other->second != one->second) return Status::malformed;
    }
  }
  bool has_length = false, chunked = false;
  std::size_t size = 0;
  for (const auto& [name, value] : message_.headers) {
    if (name == "content-length") {
      std::size_t length = 0;
      if (!read_size(value, 10, length) || (has_length && length != size)) return Status::malformed;
      has_length = true, size = length;
    } else if (name == "transfer-encoding") {
      if (lower(value) != "chunked") return Status::malformed;
      chunked = true;
    }
  }
  if (has_length && chunked) return Status::malformed;  // two parsers could see different bodies
  // Only a request's body is held completely in memory.
  if (size > max_body_bytes && side_ == Side::requests) return Status::too_large;
  remaining_bytes_ = size;
  if (chunked) state_ = State::chunk_size;
  else if (!has_length && side_ == Side::passing_responses) state_ = State::until_end;
  else state_ = size > 0 ? State::body : State::whole;
  return Status::more;
}

void MessageReader::next() {
  state_ = State::first_line;
  message_ = {};
  line_.clear();
  head_bytes_ = head_bytes_total_ = remaining_bytes_ = 0;
}

void HttpServerSide::feed(std::string_view bytes) {
  if (failed_) return;
  received_ += bytes.size();
  unparsed_.append(bytes);
  parse();
}

void HttpServerSide::parse() {
  if (parsing_) return;  // called by the listener within the loop below, which continues
  parsing_ = true;
  while (!open_ && !failed_ && !unparsed_.empty()) {
    std::string_view rest = unparsed_;
    const MessageReader::Status status = reader_.feed(rest);
    unparsed_.erase(0, unparsed_.size() - rest.size());
    if (status == MessageReader::Status::more) break;
    if (status != MessageReader::Status::whole) {
      failed_ = true;
      unparsed_ = {};
      listener_.refused_call(status == MessageReader::Status::too_large ? 413 : 400);
      break;
    }
    Message message = std::move(reader_.message());
    reader_.next();
    const std::string& line = message.first_line;
    const std::size_t first = line.find(' '), second = line.rfind(' ');
    const std::string version = second == std::string::npos ? "" : line.substr(second + 1);
    if (first == 0 || first == std::string::npos || second <= first + 1 ||
        line.find(' ', first + 1) != second || (version != "HTTP/1.1" && version != "HTTP/1.0") ||
        !std::ranges::all_of(std::string_view(line).substr(0, first), is_token_char)) {
      failed_ = true;
      listener_.refused_call(400);
      break;
    }
    const std::string connection = lower(message.header("connection"));
    keeps_alive_ = version == "HTTP/1.1" ? connection != "close" : connection == "keep-alive";
    open_ = true;
    listener_.called(line.substr(0, first), line.substr(first + 1, second - first - 1), message);
  }
  parsing_ = false;
  if (unparsed_.empty() && unparsed_.capacity() > 1024) unparsed_ = {};
}

void HttpServerSide::answered() {
  open_ = false;
  parse();
}

void append_response(std::string& out, int status, std::string_view more_headers, std::string_view body,
                     bool keeps_alive) {
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason_phrase(status));
  out.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(std::to_string(body.size()));
  out.append("\r\n").append(more_headers);
  if (!keeps_alive) out.append("Connection: close\r\n");
  out.append("\r\n").append(body);
}

std::string percent_decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::size_t code = 0;
    if (text[i] == '%' && i + 2 < text.size() && read_size(text.substr(i + 1, 2), 16, code)) {
      out.push_back(static_cast<char>(code));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

void append_json_string(std::string& out, std::string_view text) {
  constexpr char digits[] = "0123456789abcdef";
  out.push_back('"');
  for (const char c : text) {
    if (c == '"' || c == '\\') out.append(1, '\\').push_back(c);
    else if (c == '\n') out.append("\\n");
    else if (c == '\r') out.append("\\r");
    else if (c == '\t') out.append("\\t");
    else if (static_cast<unsigned char>(c) < 0x20)
      out.append("\\u00").append(1, digits[c >> 4]).push_back(digits[c & 15]);
    else out.push_back(c);
  }
  out.push_back('"');
}

}  // namespace pearchute::net
