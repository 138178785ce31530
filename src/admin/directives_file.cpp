#include "admin/directives_file.h"

#include <Poco/Checksum.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>

#include "kept.pb.h"
#include "system/file_descriptor.h"
#include "system/files.h"

namespace pearchute::admin {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view format_line = "pearchute orders 1\n";
constexpr std::size_t checksum_line_bytes = 9;  // eight hexadecimal digits and a line feed
constexpr std::size_t header_bytes = format_line.size() + checksum_line_bytes;
constexpr mode_t file_mode = 0600;

// The size of a file with twice the maximum number of directives, each of maximum length: three names (id,
// subject, holder), the reason, and the encoding.
constexpr std::size_t encoding_bytes = 64;
constexpr std::size_t max_directive_bytes =
    3 * fleet::Drains::max_name_bytes + fleet::Drains::max_reason_bytes + encoding_bytes;
constexpr std::size_t max_file_bytes = 2 * fleet::Drains::max_directives * max_directive_bytes;

std::string checksum_line(std::string_view text) {
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(text.data(), static_cast<unsigned>(text.size()));
  std::array<char, 16> line{};
  std::snprintf(line.data(), line.size(), "%08x\n", static_cast<unsigned>(checksum.checksum()));
  return line.data();
}

std::string describe_failure(const char* call) { return std::string(call) + ": " + text_of_last_error(); }

// Parses the content of a file. Returns the fault, or nothing where the content is valid.
std::optional<std::string> parse(const std::string& text, kept::v1::KeptOrders& message) {
  if (text.size() > max_file_bytes)
    return "the file has " + std::to_string(text.size()) + " bytes, more than " +
           std::to_string(max_file_bytes);
  if (text.size() < header_bytes || !text.starts_with(format_line)) return "not an orders file, or truncated";
  const std::string body = text.substr(header_bytes);
  if (text.substr(format_line.size(), checksum_line_bytes) != checksum_line(body)) return "checksum mismatch";
  if (!message.ParseFromString(body)) return "invalid content despite a matching checksum";
  return std::nullopt;
}

DirectivesFile::PersistedDirective decode(const kept::v1::KeptOrder& message, milliseconds unix_now) {
  const milliseconds remaining = milliseconds(message.until_unix_ms()) - unix_now;
  DirectivesFile::PersistedDirective persisted;
  fleet::DrainDirective& directive = persisted.directive;
  directive.id = message.id();
  directive.subject = message.subject();
  directive.holder = message.holder();
  directive.generation = message.generation();
  directive.drains = message.drains();
  directive.all_holders = message.everyone();
  directive.reason = message.reason();
  directive.lease = std::clamp<fleet::Duration>(remaining, fleet::Duration(1), fleet::Drains::max_lease);
  persisted.remaining = remaining;
  return persisted;
}

void encode(const fleet::ActiveDirective& active, fleet::TimePoint now, milliseconds unix_now,
            kept::v1::KeptOrder& message) {
  const fleet::DrainDirective& directive = active.order;
  message.set_id(directive.id);
  message.set_subject(directive.subject);
  message.set_holder(directive.holder);
  message.set_generation(directive.generation);
  message.set_drains(directive.drains);
  message.set_everyone(directive.all_holders);
  message.set_reason(directive.reason);
  const milliseconds until = unix_now + duration_cast<milliseconds>(active.until - now);
  message.set_until_unix_ms(static_cast<std::uint64_t>(until.count()));
}

}  // namespace

DirectivesFile::DirectivesFile(std::string path, StageObserver observe_stage)
    : path_(std::move(path)), observe_stage_(std::move(observe_stage)) {}

void DirectivesFile::notify_stage(WriteStage stage) const {
  if (observe_stage_) observe_stage_(stage);
}

DirectivesFile::ReadResult DirectivesFile::read(milliseconds unix_now) const {
  ReadResult result;
  std::optional<std::string> text;
  try {
    text = read_file_if_there(path_);
  } catch (const ResourceShortage&) {
    throw;  // the file may be intact, and must not be reported as damaged
  } catch (const SystemError& error) {
    result.damaged = true;
    result.error = error.wrong();
    return result;
  }
  if (!text) return result;
  kept::v1::KeptOrders message;
  if (const std::optional<std::string> error = parse(*text, message)) {
    result.damaged = true;
    result.error = *error;
    std::rename(path_.c_str(), (path_ + ".damaged").c_str());
    return result;
  }
  for (const kept::v1::KeptOrder& order : message.orders())
    result.directives.push_back(decode(order, unix_now));
  return result;
}

bool DirectivesFile::write(const std::vector<fleet::ActiveDirective>& directives, fleet::TimePoint now,
                           milliseconds unix_now, std::string& error) const {
  kept::v1::KeptOrders message;
  for (const fleet::ActiveDirective& active : directives)
    encode(active, now, unix_now, *message.add_orders());
  std::string body;
  message.SerializeToString(&body);
  const std::string text = std::string(format_line) + checksum_line(body) + body;
  const std::string temporary = path_ + ".new";
  if (!write_new_file(temporary, text, error)) return false;
  if (std::rename(temporary.c_str(), path_.c_str()) != 0) {
    error = describe_failure("rename");
    return false;
  }
  notify_stage(WriteStage::renamed);
  sync_folder();
  notify_stage(WriteStage::folder_synced);
  return true;
}

// Writes and syncs the file. Where it returns false, the file is removed.
bool DirectivesFile::write_new_file(const std::string& path, std::string_view text,
                                    std::string& error) const {
  const FileDescriptor file(uninterrupted(
      [&] { return ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode); }));
  if (!file.is_open()) {
    error = describe_failure("open");
    return false;
  }
  notify_stage(WriteStage::begun);
  const bool written = write_in_halves(file.get(), text);
  if (written) notify_stage(WriteStage::written);
  const bool durable = written && ::fsync(file.get()) == 0;
  if (!durable) {
    error = describe_failure(written ? "fsync" : "write");
    ::unlink(path.c_str());
    return false;
  }
  notify_stage(WriteStage::synced);
  return true;
}

// Writes the text in two parts, so that tests can kill the process between them.
bool DirectivesFile::write_in_halves(int descriptor, std::string_view text) const {
  const std::string_view first_half = text.substr(0, text.size() / 2);
  if (!write_all(descriptor, first_half)) return false;
  notify_stage(WriteStage::half_written);
  return write_all(descriptor, text.substr(first_half.size()));
}

// Makes the rename durable. A failure is ignored, since the new file is already in place.
void DirectivesFile::sync_folder() const {
  const std::size_t slash = path_.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path_.substr(0, slash + 1);
  const FileDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.is_open()) ::fsync(descriptor.get());
}

}  // namespace pearchute::admin
