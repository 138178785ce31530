// Hash functions whose values are the same in every process, build and machine, as messages and placement
// require.
#pragma once

#include <cstdint>
#include <string_view>

namespace pearchute::fleet {

// FNV-1a, 64 bits.
class Fnv1a {
 public:
  void add(std::string_view text) {
    for (const char byte : text) add_byte(static_cast<unsigned char>(byte));
  }
  void add_byte(unsigned char byte) { value_ = (value_ ^ byte) * prime; }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t prime = 1099511628211ULL;
  static constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
  std::uint64_t value_ = offset_basis;
};

// The finalizer of SplitMix64: similar inputs give unrelated outputs, which FNV-1a alone does not.
constexpr std::uint64_t mix_bits(std::uint64_t value) {
  constexpr int first_shift = 30, second_shift = 27, last_shift = 31;
  value = (value ^ (value >> first_shift)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> second_shift)) * 0x94D049BB133111EBULL;
  return value ^ (value >> last_shift);
}

}  // namespace pearchute::fleet
