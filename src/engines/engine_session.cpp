#include "engines/engine_session.h"

#include <algorithm>
#include <charconv>

#include "service/named_values.h"

namespace pearchute::net {

namespace {

// Limits of the protocol; answers beyond them are malformed.
constexpr std::size_t max_strings = 4;
constexpr std::size_t max_string_bytes = 6000;  // of a page
constexpr std::size_t max_result_bytes = 48000;
constexpr std::size_t max_pages =
    64;  // more than max_result_bytes / max_string_bytes, since pages of whole rows may be far from full
constexpr double max_note_value = 1e9;  // the largest values are in MB
// Ids of ended attempts remembered for each connection; late and duplicate answers arrive soon after the end.
constexpr std::size_t max_ended_ids = 64;

template <class Number>
bool read_number(std::string_view text, Number& number) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && stop == text.data() + text.size();
}

// Guards against answers with valid framing and corrupt content: a page consists of whole rows with three
// columns of text.
bool is_page(std::string_view text) {
  int tabs = 0;
  for (const char c : text) {
    if (c == '\t' ? ++tabs > 2 : c == '\n' ? tabs != 2 : static_cast<unsigned char>(c) < 0x20) return false;
    if (c == '\n') tabs = 0;
  }
  return (text.empty() || text.back() == '\n') && is_utf8(text);
}

}  // namespace

// Rejects truncated and overlong sequences, surrogates and code points above U+10FFFF.
bool is_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    const unsigned first = byte(i);
    const std::size_t continuation_bytes = first < 0x80   ? 0
                                           : first < 0xc2 ? 9
                                           : first < 0xe0 ? 1
                                           : first < 0xf0 ? 2
                                                          : 3;
    if (first > 0xf4 || continuation_bytes > 3 || text.size() - i <= continuation_bytes) return false;
    for (std::size_t k = 1; k <= continuation_bytes; ++k) {
      if ((byte(i + k) & 0xc0) != 0x80) return false;
    }
    if (continuation_bytes > 1) {
      const unsigned second = byte(i + 1);
      if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
          (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f))
        return false;
    }
    i += continuation_bytes + 1;
  }
  return true;
}

bool RespReader::read_length(std::string_view& bytes, char mark, std::size_t max_length,
                             std::size_t& length) {
  const std::size_t end = bytes.find('\n');
  line_.append(bytes.substr(0, end));
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  if (line_.size() > 24 || (!line_.empty() && line_.front() != mark)) return broken_ = true, false;
  if (end == std::string_view::npos) return false;
  if (line_.size() < 3 || line_.back() != '\r') return broken_ = true, false;
  if (!read_number(std::string_view(line_).substr(1, line_.size() - 2), length) || length > max_length)
    return broken_ = true, false;
  line_.clear();
  return true;
}

bool RespReader::step(std::string_view& bytes) {
  switch (state_) {
    case State::array:
      if (!read_length(bytes, '*', max_strings, string_count_)) return false;
      strings_.clear();
      if (string_count_ == 0) return broken_ = true, false;
      state_ = State::bulk;
      return false;
    case State::bulk:
      if (!read_length(bytes, '$', max_string_bytes, string_length_)) return false;
      strings_.emplace_back();
      state_ = State::text;
      return false;
    case State::text: {
      const std::size_t part = std::min(string_length_ - strings_.back().size(), bytes.size());
      strings_.back().append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (strings_.back().size() == string_length_) state_ = State::text_end;
      return false;
    }
    case State::text_end:
      line_.push_back(bytes.front());
      bytes.remove_prefix(1);
      if (line_ == "\r") return false;
      if (line_ != "\r\n") return broken_ = true, false;
      line_.clear();
      state_ = strings_.size() == string_count_ ? State::array : State::bulk;
      return state_ == State::array;
  }
  return false;
}

void append_command(std::string& out, std::initializer_list<std::string_view> strings) {
  out.append("*").append(std::to_string(strings.size())).append("\r\n");
  for (const std::string_view text : strings) {
    out.append("$").append(std::to_string(text.size())).append("\r\n").append(text).append("\r\n");
  }
}

void EngineSession::append(std::string& out, std::initializer_list<std::string_view> strings) {
  const std::size_t before = out.size();
  append_command(out, strings);
  appended_bytes_ += out.size() - before;
}

void EngineSession::submit(AttemptId attempt, const EngineRequest& request, std::string& out) {
  std::string fields = "kind=" + std::string(request.kind) + ",ms=" + std::to_string(request.wait_ms);
  if (!request.token.empty()) fields.append(",token=").append(request.token);
  if (request.grant_mb > 0) fields.append(",workmem=").append(std::to_string(request.grant_mb));
  fields.append(",weight=").append(std::to_string(request.priority));
  OpenAttempt& open = open_[std::string(request.id)];
  open = {};
  open.attempt = attempt;
  open.start_offset = appended_bytes_;
  ids_[attempt] = request.id;
  append(out, {"want", request.id, fields, request.statement});
  open.length = static_cast<std::size_t>(appended_bytes_ - open.start_offset);
}

std::optional<std::pair<AttemptId, std::size_t>> EngineSession::retract_unsent(
    std::uint64_t bytes_written, std::optional<AttemptId> only) {
  const auto it = std::ranges::find_if(open_, [&](const auto& one) {
    return one.second.start_offset == bytes_written && one.second.cancel_tag.empty() &&
           (!only || one.second.attempt == *only);
  });
  if (it == open_.end()) return std::nullopt;
  const std::pair retracted{it->second.attempt, it->second.length};
  ids_.erase(retracted.first);
  open_.erase(it);
  return retracted;
}

// Guards against two attempts of a request that overlap: a cancelled attempt ends only when its engine has
// read the cancellation. The echo of a tag, which is sent right after it, confirms that.
void EngineSession::cancel(AttemptId attempt, std::string& out) {
  const auto id = ids_.find(attempt);
  if (id == ids_.end()) return;
  OpenAttempt& open = open_.find(id->second)->second;
  if (!open.cancel_tag.empty()) return;
  open.cancel_tag = std::to_string(next_tag_++);
  append(out, {"never_mind", id->second});
  append(out, {"there", open.cancel_tag});
}

void EngineSession::on_echo(std::string_view tag) {
  const auto it = std::ranges::find_if(open_, [&](const auto& one) { return one.second.cancel_tag == tag; });
  if (it != open_.end() && !tag.empty()) end(it, Outcome::cancelled);
}

void EngineSession::abandon(AttemptId attempt) {
  const auto id = ids_.find(attempt);
  if (id == ids_.end()) return;
  end(open_.find(id->second), Outcome::cancelled);
}

void EngineSession::reprioritize(AttemptId attempt, int priority, std::string& out) {
  const auto id = ids_.find(attempt);
  if (id != ids_.end()) append(out, {"hurry", id->second, std::to_string(priority)});
}

bool EngineSession::may_still_answer(std::string_view id) const {
  return open_.contains(id) || std::ranges::count(ended_ids_, id) > 0;
}

bool EngineSession::has_partial_answer() const {
  return reader_.has_partial_array() || std::ranges::any_of(open_, [](const auto& one) {
           return !one.second.pages.empty() && one.second.cancel_tag.empty();
         });
}

// Any data that the engine sends afterwards shows that the connection works.
void EngineSession::probe_liveness(std::string& out) { append(out, {"there", std::to_string(next_tag_++)}); }

bool EngineSession::feed(std::string_view bytes, std::string& out) {
  bool valid = true;
  const bool read = reader_.feed(
      bytes, [&](std::vector<std::string>& strings) { valid = valid && on_answer(strings, out); });
  return read && valid;
}

// NOLINTNEXTLINE(readability-function-*): one case for each answer type of the protocol
bool EngineSession::on_answer(std::vector<std::string>& strings, std::string& out) {
  ++answer_count_;
  if (strings.size() < 2) return false;
  if (strings[1] == "PONG") return on_echo(strings[0]), true;
  if (strings.size() != 4) return false;
  const auto it = open_.find(strings[0]);
  if (it == open_.end()) return true;  // a late answer to an ended attempt, or to an unknown id
  OpenAttempt& open = it->second;
  if (!open.cancel_tag.empty()) listener_.on_late_answer(open.attempt, strings[1]);
  service::NamedValues fields;
  try {
    if (strings[2] != "-" && !strings[2].empty()) {
      for (const std::string_view part : service::split(strings[2], ',')) fields.add_pair(part);
    }
    std::int64_t page_number = 0;
    if (strings[1] == "HIT") {
      if (!open.pages.empty()) return true;  // a duplicate
      const std::int64_t pages = fields.required_whole("fetches");
      if (pages < 1 || pages > static_cast<std::int64_t>(max_pages)) return false;
      open.pages.resize(static_cast<std::size_t>(pages));
      open.received.resize(open.pages.size());
      // After a cancellation the engine has dropped the other pages together with the request.
      for (std::int64_t page = 1; page < pages && open.cancel_tag.empty(); ++page)
        append(out, {"turn", it->first, std::to_string(page)});
    } else if (strings[1] == "PART") {
      page_number = fields.required_whole("fetch_no");
      if (page_number < 1 || page_number >= static_cast<std::int64_t>(open.pages.size())) return false;
    } else if (strings[1] == "INFO") {
      const std::string_view note = fields.text("res").value_or("");
      const double value = fields.number("figure").value_or(0);
      if (!(value >= 0 && value <= max_note_value)) return false;
      const AttemptId attempt = open.attempt;
      if (note == "progress") listener_.on_attempt_progress(attempt, std::min(value, 1.0));
      else if (note == "spill_mb") listener_.on_attempt_spill(attempt, value);
      else if (note == "blocked")
        listener_.on_attempt_wait(attempt, value == 2 ? WaitCause::data_load : WaitCause::memory);
      return true;
    } else if (strings[1] == "SHED" || strings[1] == "FAULT" || strings[1] == "LATE") {
      // Guards against taking a rejection that follows a cancellation for the outcome of the request: it may
      // be the engine's answer to the cancellation, so the attempt's outcome stays uncertain.
      if (!open.cancel_tag.empty()) return true;
      const Outcome outcome = strings[1] == "SHED"    ? Outcome::engine_full
                              : strings[1] == "FAULT" ? Outcome::engine_error
                                                      : Outcome::not_sent;
      return end(it, outcome), true;
    } else {
      return false;
    }
    const auto page = static_cast<std::size_t>(page_number);
    if (open.received[page]) return true;  // a duplicate
    if (!is_page(strings[3]) || (strings[3].empty() && open.pages.size() > 1)) return false;
    open.received[page] = true, open.received_pages += 1, open.bytes += strings[3].size();
    open.pages[page] = std::move(strings[3]);
    if (open.bytes > max_result_bytes) return false;
  } catch (const service::Malformed&) {
    return false;
  }
  if (open.received_pages == open.pages.size()) {
    if (open.pages.size() > 1) append(out, {"shut", it->first});
    end(it, Outcome::succeeded);
  }
  return true;
}

void EngineSession::end(std::map<std::string, OpenAttempt, std::less<>>::iterator it, Outcome outcome) {
  const AttemptId attempt = it->second.attempt;
  std::vector<std::string> pages;
  if (outcome == Outcome::succeeded) pages = std::move(it->second.pages);
  ids_.erase(attempt);
  ended_ids_.push_back(it->first);
  if (ended_ids_.size() > max_ended_ids) ended_ids_.pop_front();
  open_.erase(it);
  listener_.on_attempt_ended(attempt, outcome, std::move(pages));
}

void EngineSession::on_connection_lost(std::uint64_t bytes_written) {
  while (!open_.empty()) {
    // A command that was not written completely can't have run.
    const OpenAttempt& open = open_.begin()->second;
    const bool unsent = open.start_offset + open.length > bytes_written;
    end(open_.begin(), unsent ? Outcome::unreachable : Outcome::connection_reset);
  }
}

}  // namespace pearchute::net
