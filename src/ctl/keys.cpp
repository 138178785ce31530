#include "ctl/keys.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <vector>

#include "fleet/command_outcome.h"
#include "keys/authority.h"

namespace pearchute::ctl {

namespace {

constexpr int hours_per_day = 24;
// Ten years, since a new authority requires new certificates for all agents and operators.
constexpr std::chrono::hours authority_lifetime(hours_per_day * 3650);

// Formats the time in UTC.
std::string time_text(std::chrono::system_clock::time_point time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M", &parts);
  return text.data();
}

const char* state_of(const keys::Certificate& certificate, const std::vector<std::string>& revoked_serials) {
  const auto now = std::chrono::system_clock::now();
  if (std::ranges::find(revoked_serials, certificate.serial) != revoked_serials.end()) return "revoked";
  if (now > certificate.valid_until) return "expired";
  return now < certificate.valid_from ? "not yet" : "holds";
}

void print_certificates(const std::vector<keys::Certificate>& certificates,
                        const std::vector<std::string>& revoked_serials, Output& output) {
  Rows rows;
  for (const keys::Certificate& certificate : certificates) {
    rows.push_back({{"name", certificate.name},
                    {"role", certificate.role ? std::string(fleet::name_of(*certificate.role)) : "none"},
                    {"until", time_text(certificate.valid_until)},
                    {"state", state_of(certificate, revoked_serials)},
                    {"serial", certificate.serial}});
  }
  output.rows(rows, {"name", "role", "until", "state", "serial"});
}

}  // namespace

int keys_init(const KeyOptions& options, Output& output) {
  keys::Authority authority(options.folder);
  authority.init(options.name, authority_lifetime);
  output.line("authority of " + options.name + " in " + options.folder + "; keep ca.key away from the hosts");
  return fleet::all_done;
}

int keys_issue(const KeyOptions& options, Output& output) {
  keys::Authority authority(options.folder);
  const std::chrono::hours lifetime(hours_per_day * options.days);
  print_certificates({authority.issue(options.name, fleet::parse_role(options.role), lifetime)}, {}, output);
  return fleet::all_done;
}

int keys_revoke(const KeyOptions& options, Output& output) {
  keys::Authority authority(options.folder);
  const keys::Certificate certificate = keys::read_certificate(authority.path(options.name + ".pem"));
  authority.revoke(certificate);
  output.line(certificate.name + " is revoked; give " + authority.path("ca.crl") + " to the agents");
  return fleet::all_done;
}

int keys_show(const KeyOptions& options, Output& output) {
  if (!options.file.empty()) {
    print_certificates({keys::read_certificate(options.file)}, {}, output);
    return fleet::all_done;
  }
  const keys::Authority authority(options.folder);
  const std::vector<keys::Certificate> issued = authority.issued();
  print_certificates(issued, keys::revoked_serials(authority.path("ca.crl"), authority.path("ca.pem")),
                     output);
  return fleet::all_done;
}

}  // namespace pearchute::ctl
