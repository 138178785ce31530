#include "agent/config_candidate.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>

#include "system/files.h"

namespace pearchute::agent {

using nlohmann::json;

namespace {

// Settings that differ between instances, so that a version for the whole fleet can't set them.
constexpr std::array instance_settings = {"name", "listen", "configuration_version"};
constexpr mode_t candidate_mode = 0600;
constexpr int json_indent = 1;

json parse(const std::string& text) { return json::parse(text, nullptr, false); }

// Syncs the file to disk, so that it is still complete after a crash of the machine once the manager has
// renamed it.
bool write_durably(const std::string& path, const std::string& text) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, candidate_mode);
  if (file < 0) return false;
  const bool written = ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  const bool durable = written && ::fsync(file) == 0;
  return ::close(file) == 0 && durable;
}

}  // namespace

std::string content_error(const std::string& content) {
  const json object = parse(content);
  if (!object.is_object()) return "the content is not a JSON object";
  for (const char* name : instance_settings) {
    if (object.contains(name)) return "'" + std::string(name) + "' is specific to an instance";
  }
  return "";
}

std::string write_candidate(const std::string& base_file, const std::string& config_file,
                            const fleet::ConfigDocument& document) {
  json configuration;
  try {
    configuration = parse(read_file(base_file));
  } catch (const SystemError& error) {
    return error.what();
  }
  if (!configuration.is_object()) return base_file + " is not a JSON object";
  const json content = parse(document.content);
  if (!content.is_object()) return "the content is not a JSON object";
  configuration.merge_patch(content);
  configuration["configuration_version"] = {
      {"epoch", document.mark.epoch}, {"number", document.mark.number}, {"digest", document.mark.digest}};
  const std::string candidate = config_file + ".candidate";
  const bool written = write_durably(candidate, configuration.dump(json_indent) + "\n");
  return written ? "" : candidate + " can't be written";
}

}  // namespace pearchute::agent
