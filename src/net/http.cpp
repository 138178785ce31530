#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace pearchute::net {

namespace {

// Far over what the protocol needs, far under what memory allows for every descriptor.
constexpr std::size_t largest_head = 16 * 1024;
constexpr std::size_t largest_body = 64 * 1024;
constexpr std::size_t most_headers = 100;  // each costs more than its bytes

bool token_char(char c) {
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

const char* reason(int status) {
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

bool MessageReader::line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view part = bytes.substr(0, end);
  line_.append(part);
  head_bytes_ += part.size() + 1;
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  if (end == std::string_view::npos) return false;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): one case a state of the parser
MessageReader::Status MessageReader::feed(std::string_view& bytes) {
  while (state_ != State::whole && !bytes.empty()) {
    switch (state_) {
      case State::first_line:
      case State::headers:
      case State::trailers:
      case State::chunk_size:
      case State::chunk_end: {
        if (!line(bytes)) {
          if (line_.size() > largest_head || head_bytes_ > largest_head) return Status::too_large;
          break;
        }
        if (head_bytes_ > largest_head) return Status::too_large;
        if (line_.find('\0') != std::string::npos || line_.find('\r') != std::string::npos)
          return Status::malformed;
        if (state_ == State::first_line) {
          if (line_.empty()) break;  // some clients send an empty line between messages
          message_.first_line = std::move(line_);
          state_ = State::headers;
        } else if (state_ == State::headers) {
          const Status status = line_.empty() ? head_done() : take_header();
          if (status != Status::more) return status;
        } else if (state_ == State::trailers) {
          if (line_.empty()) state_ = State::whole;
        } else if (state_ == State::chunk_end) {
          if (!line_.empty()) return Status::malformed;
          state_ = State::chunk_size;
        } else {
          head_bytes_ = 0;
          const std::string_view size = trimmed(std::string_view(line_).substr(0, line_.find(';')));
          if (!read_size(size, 16, left_)) return Status::malformed;
          if (left_ > largest_body && side_ == Side::requests) return Status::too_large;
          state_ = left_ > 0 ? State::chunk : State::trailers;
        }
        line_.clear();
        break;
      }
      case State::body:
      case State::chunk:
      case State::until_end: {
        const std::size_t part = state_ == State::until_end ? bytes.size() : std::min(left_, bytes.size());
        if (message_.body.size() + part > largest_body) return Status::too_large;
        message_.body.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        if (state_ != State::until_end && (left_ -= part) == 0)
          state_ = state_ == State::body ? State::whole : State::chunk_end;
        break;
      }
      case State::whole:
        break;
    }
  }
  return state_ == State::whole ? Status::whole : Status::more;
}

MessageReader::Status MessageReader::take_header() {
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) return Status::malformed;
  const std::string_view name = std::string_view(line_).substr(0, colon);
  if (!std::ranges::all_of(name, token_char) || message_.headers.size() >= most_headers)
    return Status::malformed;
  head_total_ += line_.size();
  message_.headers.emplace_back(lower(name), trimmed(std::string_view(line_).substr(colon + 1)));
  return Status::more;
}

MessageReader::Status MessageReader::head_done() {
  head_bytes_ = 0;
  // Guards against two readers that see two different calls: what is said twice has to be the same.
  for (auto one = message_.headers.begin(); one != message_.headers.end(); ++one) {
    for (auto other = message_.headers.begin(); other != one; ++other) {
      if (other->first == one->first && other->second != one->second) return Status::malformed;
    }
  }
  bool sized = false, chunked = false;
  std::size_t size = 0;
  for (const auto& [name, value] : message_.headers) {
    if (name == "content-length") {
      std::size_t told = 0;
      if (!read_size(value, 10, told) || (sized && told != size)) return Status::malformed;
      sized = true, size = told;
    } else if (name == "transfer-encoding") {
      if (lower(value) != "chunked") return Status::malformed;
      chunked = true;
    }
  }
  if (sized && chunked) return Status::malformed;  // two readers could see two different bodies
  // What is passed on is never held whole.
  if (size > largest_body && side_ == Side::requests) return Status::too_large;
  left_ = size;
  if (chunked) state_ = State::chunk_size;
  else if (!sized && side_ == Side::passing_responses) state_ = State::until_end;
  else state_ = size > 0 ? State::body : State::whole;
  return Status::more;
}

void MessageReader::next() {
  state_ = State::first_line;
  message_ = {};
  line_.clear();
  head_bytes_ = head_total_ = left_ = 0;
}

void HttpServerSide::feed(std::string_view bytes) {
  if (dead_) return;
  fed_ += bytes.size();
  kept_.append(bytes);
  take();
}

void HttpServerSide::take() {
  if (taking_) return;  // an answer from within a call: the loop below goes on with it
  taking_ = true;
  while (!open_ && !dead_ && !kept_.empty()) {
    std::string_view rest = kept_;
    const MessageReader::Status status = reader_.feed(rest);
    kept_.erase(0, kept_.size() - rest.size());
    if (status == MessageReader::Status::more) break;
    if (status != MessageReader::Status::whole) {
      dead_ = true;
      kept_ = {};
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
        !std::ranges::all_of(std::string_view(line).substr(0, first), token_char)) {
      dead_ = true;
      listener_.refused_call(400);
      break;
    }
    const std::string connection = lower(message.header("connection"));
    keeps_alive_ = version == "HTTP/1.1" ? connection != "close" : connection == "keep-alive";
    open_ = true;
    listener_.called(line.substr(0, first), line.substr(first + 1, second - first - 1), message);
  }
  taking_ = false;
  if (kept_.empty() && kept_.capacity() > 1024) kept_ = {};
}

void HttpServerSide::answered() {
  open_ = false;
  take();
}

void append_response(std::string& out, int status, std::string_view more_headers, std::string_view body,
                     bool keeps_alive) {
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason(status));
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
