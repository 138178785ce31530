// Seeded random numbers and digests for characterization tests. They are the same on every machine, with
// every compiler and at every optimization level.
#pragma once

#include <cstdint>
#include <string_view>

namespace pearchute::test {

// A SplitMix64 generator. It has its own distributions, because the standard library's differ between
// implementations.
class SeededNumbers {
 public:
  explicit SeededNumbers(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t value = state_;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
  }
  // Returns a number from `low` to `high`, both included.
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(high - low + 1));
  }
  // Returns true with a probability of `percentage` percent.
  bool percent(int percentage) { return between(0, 99) < percentage; }

 private:
  std::uint64_t state_;
};

// A 64-bit FNV-1a hash.
class Digest {
 public:
  void add(std::string_view text) {
    for (const char character : text) {
      value_ = (value_ ^ static_cast<unsigned char>(character)) * 0x100000001B3ULL;
    }
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xCBF29CE484222325ULL;
};

}  // namespace pearchute::test
