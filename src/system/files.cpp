#include "system/files.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace pearchute {

namespace {

[[noreturn]] void fail_to_read(const std::string& path, int error) {
  const std::string wrong = "can't be read: " + text_of_error(error);
  if (failure_of(error) == Failure::not_now) throw ResourceShortage(wrong, path);
  throw SystemError(wrong, path, "check that the file exists and that this user may read it");
}

}  // namespace

std::optional<std::string> read_file_if_there(const std::string& path) {
  const int file = uninterrupted([&] { return ::open(path.c_str(), O_RDONLY | O_CLOEXEC); });
  if (file < 0 && errno == ENOENT) return std::nullopt;
  if (file < 0) fail_to_read(path, errno);
  std::string text;
  std::array<char, 16 * 1024> bytes;
  while (true) {
    const auto got = uninterrupted([&] { return ::read(file, bytes.data(), bytes.size()); });
    const int error = errno;
    if (got > 0) {
      text.append(bytes.data(), static_cast<std::size_t>(got));
      continue;
    }
    ::close(file);
    if (got == 0) return text;
    fail_to_read(path, error);
  }
}

std::string read_file(const std::string& path) {
  std::optional<std::string> text = read_file_if_there(path);
  if (!text) fail_to_read(path, ENOENT);
  return *std::move(text);
}

bool write_all(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const auto written = uninterrupted([&] { return ::write(descriptor, text.data(), text.size()); });
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace pearchute
