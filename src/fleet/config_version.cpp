#include "fleet/config_version.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace pearchute::fleet {

namespace {

constexpr std::size_t digest_bytes = 16;  // the first 16 of SHA-256's 32 bytes
constexpr int bits_per_digit = 4;
constexpr unsigned char digit_mask = 15;
constexpr std::size_t max_name_bytes = 128;

bool is_hex_digest(const std::string& text) {
  return text.size() == 2 * digest_bytes && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Prepends the length to each part, so that no two documents give the same input to the hash.
void append_part(std::string& input, std::string_view part) {
  input += std::to_string(part.size());
  input += ':';
  input += part;
}

SupersededConfig record_of(const ConfigDocument& loser, const ConfigMark& winner) {
  return {loser.mark, winner, loser.author, loser.ancestors};
}

}  // namespace

std::string_view name_of(PublishResult result) {
  constexpr std::string_view names[] = {"accepted",     "unverified", "unknown",
                                        "stale parent", "too large",  "not written"};
  return names[static_cast<std::size_t>(result)];
}

bool ConfigDocument::descends_from(const ConfigMark& other) const {
  return std::ranges::find(ancestors, other.digest) != ancestors.end();
}

std::string digest_of(const ConfigDocument& document) {
  std::string input;
  append_part(input, std::to_string(document.mark.epoch));
  append_part(input, std::to_string(document.mark.number));
  append_part(input, document.author);
  append_part(input, std::to_string(document.ancestors.size()));
  for (const std::string& ancestor : document.ancestors) append_part(input, ancestor);
  append_part(input, document.content);
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  EVP_Digest(input.data(), input.size(), hash.data(), nullptr, EVP_sha256(), nullptr);
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < digest_bytes; ++i) {
    text += digits[hash[i] >> bits_per_digit];
    text += digits[hash[i] & digit_mask];
  }
  return text;
}

bool is_intact(const ConfigDocument& document) {
  if (document.content.size() > ConfigDocument::max_content_bytes) return false;
  if (document.ancestors.size() > ConfigDocument::max_ancestors) return false;
  if (document.author.empty() || document.author.size() > max_name_bytes) return false;
  if (document.mark.epoch == 0 || document.mark.number == 0) return false;
  if (!std::ranges::all_of(document.ancestors, is_hex_digest)) return false;
  return document.mark.digest == digest_of(document);
}

ConfigReplica::ConfigReplica(Host& host, std::string self, State on_disk)
    : host_(host), self_(std::move(self)), state_(std::move(on_disk)) {}

PublishResult ConfigReplica::publish(const PublishRequest& request) {
  if (request.content.size() > ConfigDocument::max_content_bytes) return PublishResult::too_large;
  if (!state_.current && !request.new_epoch) return PublishResult::unknown;
  if (state_.current && request.parent != state_.current->mark.digest) return PublishResult::stale_parent;
  if (!state_.current && !request.parent.empty()) return PublishResult::stale_parent;

  ConfigDocument next;
  next.author = self_;
  next.content = request.content;
  next.mark.epoch = mark().epoch + (request.new_epoch ? 1 : 0);
  next.mark.number = mark().number + 1;
  if (state_.current) {
    next.ancestors = state_.current->ancestors;
    next.ancestors.insert(next.ancestors.begin(), state_.current->mark.digest);
    if (next.ancestors.size() > ConfigDocument::max_ancestors) next.ancestors.pop_back();
  }
  next.mark.digest = digest_of(next);

  State after = state_;
  after.current = next;
  if (!host_.write_config(after)) return PublishResult::not_written;
  state_ = std::move(after);
  return PublishResult::accepted;
}

bool ConfigReplica::receive(const ConfigDocument& document) {
  if (!is_intact(document) || document.mark == mark()) return false;
  State after = state_;
  const bool replaces = document.mark > mark();
  if (replaces) {
    if (state_.current && !document.descends_from(mark()))
      add(after, record_of(*state_.current, document.mark));
    after.current = document;
  } else {
    if (state_.current->descends_from(document.mark)) return false;
    add(after, record_of(document, mark()));
  }
  if (after == state_ || !host_.write_config(after)) return false;
  state_ = std::move(after);
  return replaces;
}

bool ConfigReplica::receive_superseded(const std::vector<SupersededConfig>& records) {
  State after = state_;
  for (const SupersededConfig& record : records) {
    const bool is_valid = is_hex_digest(record.mark.digest) && is_hex_digest(record.by.digest) &&
                          record.mark < record.by && record.author.size() <= max_name_bytes &&
                          record.ancestors.size() <= ConfigDocument::max_ancestors &&
                          std::ranges::all_of(record.ancestors, is_hex_digest);
    if (is_valid) add(after, record);
  }
  if (after == state_ || !host_.write_config(after)) return false;
  state_ = std::move(after);
  return true;
}

// Of two records of one document the one with the greater winner is kept, so that merging records gives the
// same result in any order. Beyond max_superseded, the record with the least mark is dropped.
void ConfigReplica::add(State& state, const SupersededConfig& record) {
  auto& all = state.superseded;
  const auto place = std::ranges::lower_bound(all, record.mark, {}, &SupersededConfig::mark);
  if (place != all.end() && place->mark == record.mark) {
    place->by = std::max(place->by, record.by);
    return;
  }
  all.insert(place, record);
  if (all.size() > max_superseded) all.erase(all.begin());
}

}  // namespace pearchute::fleet
