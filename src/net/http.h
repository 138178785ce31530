// HTTP/1.1: the server's side of one client connection, and what both sides share of reading messages. Fed
// bytes, it tells of whole calls; it knows no socket and no clock, and nothing of what a call means.
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
  std::string_view header(std::string_view lower_name) const;  // empty where absent
};

// Reads one message after the other. What is read has bounds, so a peer cannot make it grow.
class MessageReader {
 public:
  enum class Status { more, whole, too_large, malformed };
  // A response with neither length nor chunks runs until the connection ends; `passing` hands its body on as
  // it comes instead of keeping it.
  enum class Side { requests, passing_responses };
  explicit MessageReader(Side side) : side_(side) {}
  // Takes what it can use from the front of `bytes`.
  Status feed(std::string_view& bytes);
  std::size_t held() const { return line_.size() + head_total_ + message_.body.size(); }
  bool begun() const { return state_ != State::first_line || !line_.empty(); }
  bool head_read() const { return state_ != State::first_line && state_ != State::headers; }
  Message& message() { return message_; }  // whole; with `passing`, the body is what came since the last look
  void next();

 private:
  enum class State { first_line, headers, body, until_end, chunk_size, chunk, chunk_end, trailers, whole };
  bool line(std::string_view& bytes);
  Status head_done();
  Status take_header();

  Side side_;
  State state_ = State::first_line;
  Message message_;
  std::string line_;
  std::size_t head_bytes_ = 0, head_total_ = 0, left_ = 0;
};

// The server's side: one call at a time; what comes after it waits for `answered`.
class HttpServerSide {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void called(const std::string& method, const std::string& path, Message& message) = 0;
    virtual void refused_call(int status) = 0;  // malformed or too large: answer it and close
  };
  explicit HttpServerSide(Listener& listener) : listener_(listener) {}
  void feed(std::string_view bytes);
  // The open call has its answer; the next one may follow at once.
  void answered();
  bool call_open() const { return open_; }
  bool keeps_alive() const { return keeps_alive_; }
  std::size_t held() const { return kept_.size() + reader_.held(); }
  std::uint64_t bytes_taken() const { return fed_ - kept_.size(); }  // of all that came, by calls so far
  std::uint64_t bytes_fed() const { return fed_; }
  // Nothing more should be read until the open call has its answer.
  bool has_enough() const { return open_ && kept_.size() >= most_kept; }
  bool within_call() const { return !open_ && reader_.begun(); }
  // Whether a text stands in what has come behind the open call.
  bool holds_behind(std::string_view text) const { return kept_.find(text) != std::string::npos; }

 private:
  static constexpr std::size_t most_kept = 16 * 1024;  // clients make one call at a time

  void take();

  Listener& listener_;
  MessageReader reader_{MessageReader::Side::requests};
  std::string kept_;
  std::uint64_t fed_ = 0;
  bool open_ = false, keeps_alive_ = true, dead_ = false, taking_ = false;
};

void append_response(std::string& out, int status, std::string_view more_headers, std::string_view body,
                     bool keeps_alive);
std::string percent_decoded(std::string_view text);  // what is no escape stays as it is
void append_json_string(std::string& out, std::string_view text);

}  // namespace pearchute::net
