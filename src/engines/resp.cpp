#include "engines/resp.h"

#include <algorithm>
#include <charconv>

#include "service/named_values.h"

namespace pearchute::net {

namespace {

// The protocol's own bounds: whoever goes beyond them does not speak it.
constexpr std::size_t most_words = 4;
constexpr std::size_t longest_word = 6000;  // a page
constexpr std::size_t largest_result = 48000;
constexpr std::size_t most_pages = 64;  // whole rows may leave pages far from full
constexpr double most_figure = 1e9;     // of a note; its largest are megabytes
constexpr std::size_t max_ended_ids =
    64;  // ids remembered on a connection; late and second answers come soon

template <class Number>
bool read_number(std::string_view text, Number& number) {
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && stop == text.data() + text.size();
}

// Guards against answers that are well framed and spoilt within: a page is whole rows of three columns of
// text.
bool is_page(std::string_view text) {
  int tabs = 0;
  for (const char c : text) {
    if (c == '\t' ? ++tabs > 2 : c == '\n' ? tabs != 2 : static_cast<unsigned char>(c) < 0x20) return false;
    if (c == '\n') tabs = 0;
  }
  return (text.empty() || text.back() == '\n') && is_utf8(text);
}

}  // namespace

// Neither cut nor overlong, no surrogates, nothing beyond the last plane.
bool is_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    const unsigned first = byte(i);
    const std::size_t more = first < 0x80 ? 0 : first < 0xc2 ? 9 : first < 0xe0 ? 1 : first < 0xf0 ? 2 : 3;
    if (first > 0xf4 || more > 3 || text.size() - i <= more) return false;
    for (std::size_t k = 1; k <= more; ++k) {
      if ((byte(i + k) & 0xc0) != 0x80) return false;
    }
    if (more > 1) {
      const unsigned second = byte(i + 1);
      if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
          (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f))
        return false;
    }
    i += more + 1;
  }
  return true;
}

bool RespReader::read_length(std::string_view& bytes, char mark, std::size_t most, std::size_t& length) {
  const std::size_t end = bytes.find('\n');
  line_.append(bytes.substr(0, end));
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  if (line_.size() > 24 || (!line_.empty() && line_.front() != mark)) return broken_ = true, false;
  if (end == std::string_view::npos) return false;
  if (line_.size() < 3 || line_.back() != '\r') return broken_ = true, false;
  if (!read_number(std::string_view(line_).substr(1, line_.size() - 2), length) || length > most)
    return broken_ = true, false;
  line_.clear();
  return true;
}

bool RespReader::step(std::string_view& bytes) {
  switch (state_) {
    case State::array:
      if (!read_length(bytes, '*', most_words, wanted_)) return false;
      words_.clear();
      if (wanted_ == 0) return broken_ = true, false;
      state_ = State::bulk;
      return false;
    case State::bulk:
      if (!read_length(bytes, '$', longest_word, length_)) return false;
      words_.emplace_back();
      state_ = State::text;
      return false;
    case State::text: {
      const std::size_t part = std::min(length_ - words_.back().size(), bytes.size());
      words_.back().append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (words_.back().size() == length_) state_ = State::text_end;
      return false;
    }
    case State::text_end:
      line_.push_back(bytes.front());
      bytes.remove_prefix(1);
      if (line_ == "\r") return false;
      if (line_ != "\r\n") return broken_ = true, false;
      line_.clear();
      state_ = words_.size() == wanted_ ? State::array : State::bulk;
      return state_ == State::array;
  }
  return false;
}

void append_command(std::string& out, std::initializer_list<std::string_view> words) {
  out.append("*").append(std::to_string(words.size())).append("\r\n");
  for (const std::string_view word : words) {
    out.append("$").append(std::to_string(word.size())).append("\r\n").append(word).append("\r\n");
  }
}

void EngineSession::put(std::string& out, std::initializer_list<std::string_view> words) {
  const std::size_t before = out.size();
  append_command(out, words);
  put_ += out.size() - before;
}

void EngineSession::submit(AttemptId key, const EngineRequest& request, std::string& out) {
  std::string fields = "kind=" + std::string(request.kind) + ",ms=" + std::to_string(request.wait_ms);
  if (!request.token.empty()) fields.append(",token=").append(request.token);
  if (request.grant_mb > 0) fields.append(",workmem=").append(std::to_string(request.grant_mb));
  fields.append(",weight=").append(std::to_string(request.priority));
  OpenAttempt& open = open_[std::string(request.id)];
  open = {};
  open.key = key;
  open.starts_at = put_;
  ids_[key] = request.id;
  put(out, {"want", request.id, fields, request.statement});
  open.length = static_cast<std::size_t>(put_ - open.starts_at);
}

std::optional<std::pair<AttemptId, std::size_t>> EngineSession::retract_unsent(
    std::uint64_t bytes_left, std::optional<AttemptId> only) {
  const auto it = std::ranges::find_if(open_, [&](const auto& one) {
    return one.second.starts_at == bytes_left && one.second.cancel_tag.empty() &&
           (!only || one.second.key == *only);
  });
  if (it == open_.end()) return std::nullopt;
  const std::pair taken{it->second.key, it->second.length};
  ids_.erase(taken.first);
  open_.erase(it);
  return taken;
}

// Guards against two dispatches of a job that overlap: one given up is over only when its engine has heard,
// which the echo of a tag sent right behind shows, whatever the way to the next engine takes.
void EngineSession::cancel(AttemptId key, std::string& out) {
  const auto id = ids_.find(key);
  if (id == ids_.end()) return;
  OpenAttempt& open = open_.find(id->second)->second;
  if (!open.cancel_tag.empty()) return;
  open.cancel_tag = std::to_string(next_tag_++);
  put(out, {"never_mind", id->second});
  put(out, {"there", open.cancel_tag});
}

void EngineSession::on_echo(std::string_view tag) {
  const auto it = std::ranges::find_if(open_, [&](const auto& one) { return one.second.cancel_tag == tag; });
  if (it != open_.end() && !tag.empty()) end(it, Outcome::cancelled);
}

void EngineSession::abandon(AttemptId key) {
  const auto id = ids_.find(key);
  if (id == ids_.end()) return;
  end(open_.find(id->second), Outcome::cancelled);
}

void EngineSession::reprioritize(AttemptId key, int priority, std::string& out) {
  const auto id = ids_.find(key);
  if (id != ids_.end()) put(out, {"hurry", id->second, std::to_string(priority)});
}

bool EngineSession::knows(std::string_view id) const {
  return open_.contains(id) || std::ranges::count(ended_ids_, id) > 0;
}

bool EngineSession::has_partial_answer() const {
  return reader_.within_answer() || std::ranges::any_of(open_, [](const auto& one) {
           return !one.second.pages.empty() && one.second.cancel_tag.empty();
         });
}

// Any answer to it shows that the connection works.
void EngineSession::probe_liveness(std::string& out) { put(out, {"there", std::to_string(next_tag_++)}); }

bool EngineSession::feed(std::string_view bytes, std::string& out) {
  bool sound = true;
  const bool read =
      reader_.feed(bytes, [&](std::vector<std::string>& words) { sound = sound && answer(words, out); });
  return read && sound;
}

// NOLINTNEXTLINE(readability-function-*): one case a word of the protocol
bool EngineSession::answer(std::vector<std::string>& words, std::string& out) {
  ++whole_answers_;
  if (words.size() < 2) return false;
  if (words[1] == "PONG") return on_echo(words[0]), true;
  if (words.size() != 4) return false;
  const auto it = open_.find(words[0]);
  if (it == open_.end()) return true;  // late, of a dispatch that has ended, or of none
  OpenAttempt& open = it->second;
  if (!open.cancel_tag.empty()) listener_.on_late_answer(open.key, words[1]);
  service::NamedValues fields;
  try {
    if (words[2] != "-" && !words[2].empty()) {
      for (const std::string_view part : service::split(words[2], ',')) fields.add_pair(part);
    }
    std::int64_t at = 0;
    if (words[1] == "HIT") {
      if (!open.pages.empty()) return true;  // a second copy
      const std::int64_t pages = fields.required_whole("fetches");
      if (pages < 1 || pages > static_cast<std::int64_t>(most_pages)) return false;
      open.pages.resize(static_cast<std::size_t>(pages));
      open.here.resize(open.pages.size());
      // Its further pages went with the request where that is given up.
      for (std::int64_t page = 1; page < pages && open.cancel_tag.empty(); ++page)
        put(out, {"turn", it->first, std::to_string(page)});
    } else if (words[1] == "PART") {
      at = fields.required_whole("fetch_no");
      if (at < 1 || at >= static_cast<std::int64_t>(open.pages.size())) return false;
    } else if (words[1] == "INFO") {
      const std::string_view note = fields.text("res").value_or("");
      const double figure = fields.number("figure").value_or(0);
      if (!(figure >= 0 && figure <= most_figure)) return false;
      const AttemptId key = open.key;
      if (note == "progress") listener_.on_attempt_progress(key, std::min(figure, 1.0));
      else if (note == "spill_mb") listener_.on_attempt_spill(key, figure);
      else if (note == "blocked")
        listener_.on_attempt_wait(key, figure == 2 ? WaitCause::data_load : WaitCause::memory);
      return true;
    } else if (words[1] == "SHED" || words[1] == "FAULT" || words[1] == "LATE") {
      // Guards against a word that is taken for the answer to what was asked before the give-up: it may be
      // the engine's way of heeding it, so that the attempt's end stays unsure.
      if (!open.cancel_tag.empty()) return true;
      const Outcome outcome = words[1] == "SHED"    ? Outcome::engine_full
                              : words[1] == "FAULT" ? Outcome::engine_error
                                                    : Outcome::not_sent;
      return end(it, outcome), true;
    } else {
      return false;
    }
    const auto page = static_cast<std::size_t>(at);
    if (open.here[page]) return true;  // a second copy
    if (!is_page(words[3]) || (words[3].empty() && open.pages.size() > 1)) return false;
    open.here[page] = true, open.pages_here += 1, open.bytes += words[3].size();
    open.pages[page] = std::move(words[3]);
    if (open.bytes > largest_result) return false;
  } catch (const service::Malformed&) {
    return false;
  }
  if (open.pages_here == open.pages.size()) {
    if (open.pages.size() > 1) put(out, {"shut", it->first});
    end(it, Outcome::succeeded);
  }
  return true;
}

void EngineSession::end(std::map<std::string, OpenAttempt, std::less<>>::iterator it, Outcome outcome) {
  const AttemptId key = it->second.key;
  std::vector<std::string> pages;
  if (outcome == Outcome::succeeded) pages = std::move(it->second.pages);
  ids_.erase(key);
  ended_ids_.push_back(it->first);
  if (ended_ids_.size() > max_ended_ids) ended_ids_.pop_front();
  open_.erase(it);
  listener_.on_attempt_ended(key, outcome, std::move(pages));
}

void EngineSession::on_connection_lost(std::uint64_t bytes_left) {
  while (!open_.empty()) {
    // What has not left whole has not come whole, so it never ran.
    const OpenAttempt& open = open_.begin()->second;
    const bool unsent = open.starts_at + open.length > bytes_left;
    end(open_.begin(), unsent ? Outcome::unreachable : Outcome::connection_reset);
  }
}

}  // namespace pearchute::net
