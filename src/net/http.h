// HTTP/1.1: a message parser for clients and servers, and the server side of one connection. HttpServerSide
// parses received bytes and calls its listener for each complete HTTP request. It uses no socket and no
// clock, and doesn't interpret the requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearchute::net {

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;
  std::string_view header(std::string_view lower_name) const;  // empty if absent
};

// Parses one message after the other. The sizes of head and body are limited, so a peer can't exhaust memory.
class MessageReader {
 public:
  enum class Status { more, whole, too_large, malformed };
  // A response with neither length nor chunks ends with the connection. With `passing_responses` the user
  // takes the parts of the body out of `message` as they arrive.
  enum class Side { requests, passing_responses };
  explicit MessageReader(Side side) : side_(side) {}
  // Parses from the front of `bytes` up to the end of the message, and removes what it has parsed.
  Status feed(std::string_view& bytes);
  std::size_t buffered_bytes() const { return line_.size() + head_bytes_total_ + message_.body.size(); }
  bool begun() const { return state_ != State::first_line || !line_.empty(); }
  bool head_read() const { return state_ != State::first_line && state_ != State::headers; }
  // The message, complete after Status::whole; with `passing_responses` as far as it has arrived.
  Message& message() { return message_; }
  void next();  // starts the next message

 private:
  enum class State { first_line, headers, body, until_end, chunk_size, chunk, chunk_end, trailers, complete };
  bool read_line(std::string_view& bytes);
  Status on_head_end();
  Status parse_header();

  Side side_;
  State state_ = State::first_line;
  Message message_;
  std::string line_;
  std::size_t head_bytes_ = 0, head_bytes_total_ = 0, remaining_bytes_ = 0;
};

// The server side of a connection. It handles one HTTP request at a time; bytes after it are buffered until
// `answered` is called.
class HttpServerSide {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void called(const std::string& method, const std::string& path, Message& message) = 0;
    // A request is malformed or too large; the listener answers it with `status` and closes the connection.
    virtual void refused_call(int status) = 0;
  };
  explicit HttpServerSide(Listener& listener) : listener_(listener) {}
  void feed(std::string_view bytes);
  // Ends the open request, which has been answered; may call the listener for the next one.
  void answered();
  bool has_open_request() const { return open_; }
  bool keeps_alive() const { return keeps_alive_; }
  std::size_t buffered_bytes() const { return unparsed_.size() + reader_.buffered_bytes(); }
  std::uint64_t consumed_bytes() const { return received_ - unparsed_.size(); }  // by the requests so far
  std::uint64_t received_bytes() const { return received_; }
  // Whether the user should stop reading until the open request is answered.
  bool has_full_buffer() const { return open_ && unparsed_.size() >= max_unparsed_bytes; }
  bool is_within_request() const { return !open_ && reader_.begun(); }
  // Whether bytes after the open request have arrived.
  bool has_buffered_bytes() const { return !unparsed_.empty(); }
  // Whether the buffered bytes after the open request contain `text`.
  bool has_buffered(std::string_view text) const { return unparsed_.find(text) != std::string::npos; }

 private:
  static constexpr std::size_t max_unparsed_bytes = 16 * 1024;  // clients send one request at a time

  void parse();

  Listener& listener_;
  MessageReader reader_{MessageReader::Side::requests};
  std::string unparsed_;
  std::uint64_t received_ = 0;
  bool open_ = false, keeps_alive_ = true, failed_ = false, parsing_ = false;
};

void append_response(std::string& out, int status, std::string_view more_headers, std::string_view body,
                     bool keeps_alive);
std::string percent_decoded(std::string_view text);  // what is no escape stays as it is
void append_json_string(std::string& out, std::string_view text);

}  // namespace pearchute::net
