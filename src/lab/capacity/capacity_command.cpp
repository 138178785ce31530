#include "lab/capacity/capacity_command.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>

#include "errors/error.h"
#include "lab/capacity/capacity_page.h"
#include "lab/capacity/simulated_slopes.h"
#include "lab/capacity/slopes_file.h"
#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

namespace {

std::string read_text(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in)
    throw SettingsError("can't be read", path, "check that the file exists and that this user may read it");
  return text.str();
}

// Replaces the file in one step, by renaming a temporary file.
void write_page(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::ofstream out(temporary, std::ios::trunc);
  out << text;
  out.close();
  std::error_code error;
  if (out) std::filesystem::rename(temporary, path, error);
  if (!out || error) throw SystemError("can't be written", path);
}

void check_options(const CapacityCommand& command) {
  const int modes =
      (command.page.empty() ? 0 : 1) + (command.add.empty() ? 0 : 1) + (command.predict ? 1 : 0);
  if (modes > 1) throw UsageError("--page, --predict and --add exclude each other");
  if (command.write && command.check) throw UsageError("--write and --check exclude each other");
  if (command.page.empty() && (command.write || command.check))
    throw UsageError("--write and --check need --page FILE");
  if (!command.page.empty() && !command.write && !command.check)
    throw UsageError("--page FILE needs --write or --check");
}

// Computes the page's sections. An error about the slopes names the slopes file.
std::vector<PageSection> sections_of(const CapacityCommand& command) {
  const Target target = read_target(command.target);
  const std::vector<Slope> slopes = read_slopes(command.slopes);
  try {
    return page_sections(target, slopes);
  } catch (const SlopeError& error) {
    throw SlopeError::within(command.slopes, error);
  }
}

// Leaves out figures without a value; a scale run compares only the others.
nlohmann::json prediction_as_json(const ScalePrediction& prediction) {
  nlohmann::json json = nlohmann::json::object();
  const auto add = [&](const char* name, const Figure& figure) {
    if (figure.value) json[name] = *figure.value;
  };
  add("control_bytes_per_s_mean", prediction.control_bytes_per_s_mean);
  add("control_cpu_share_max", prediction.control_cpu_share_max);
  add("control_memory_mb_max", prediction.control_memory_mb_max);
  return json;
}

std::string last_line(std::string text) {
  while (!text.empty() && text.back() == '\n') text.pop_back();
  const std::size_t end = text.rfind('\n');
  return end == std::string::npos ? text : text.substr(end + 1);
}

int add_simulated_slopes(const CapacityCommand& command) {
  const std::string line = last_line(read_text(command.add));
  std::vector<Slope> measured;
  try {
    measured = simulated_slopes(nlohmann::json::parse(line, nullptr, false));
  } catch (const SlopeError& error) {
    throw SlopeError::within(command.add, error);
  }
  write_slopes(command.slopes, merge_slopes(read_slopes(command.slopes), measured));
  return 0;
}

int predict(const CapacityCommand& command, std::ostream& out) {
  const Target target = read_target(command.target);
  const std::vector<Slope> slopes = read_slopes(command.slopes);
  try {
    out << prediction_as_json(predict_scale(target, slopes, *command.predict)).dump() << std::endl;
  } catch (const SlopeError& error) {
    throw SlopeError::within(command.slopes, error);
  }
  return 0;
}

}  // namespace

int run(const CapacityCommand& command, std::ostream& out) {
  check_options(command);
  if (!command.add.empty()) return add_simulated_slopes(command);
  if (command.predict) return predict(command, out);
  const std::vector<PageSection> sections = sections_of(command);
  if (command.page.empty()) {
    for (const PageSection& section : sections)
      out << "## " << section.name << "\n\n" << section.text << "\n";
    return 0;
  }
  const std::string page = read_text(command.page);
  try {
    if (command.check) check_page(page, sections);
    else write_page(command.page, rewrite_page(page, sections));
  } catch (const SettingsError& error) {
    throw SettingsError::within(command.page, error);
  }
  return 0;
}

}  // namespace pearchute::lab::capacity
