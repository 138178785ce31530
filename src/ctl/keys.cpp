#include "ctl/keys.h"

#include <algorithm>

#include "fleet/command_outcome.h"
#include "keys/authority.h"

namespace pearchute::ctl {

namespace {

std::string day_of(std::chrono::system_clock::time_point time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M", &parts);
  return text;
}

void tell(const std::vector<keys::Certificate>& all, const std::vector<std::string>& revoked,
          Output& output) {
  Rows rows;
  const auto now = std::chrono::system_clock::now();
  for (const keys::Certificate& one : all) {
    const bool gone = std::ranges::find(revoked, one.serial) != revoked.end();
    const char* state = gone                    ? "revoked"
                        : now > one.valid_until ? "expired"
                        : now < one.valid_from  ? "not yet"
                                                : "holds";
    rows.push_back({{"name", one.name},
                    {"role", one.role ? std::string(fleet::name_of(*one.role)) : "none"},
                    {"until", day_of(one.valid_until)},
                    {"state", state},
                    {"serial", one.serial}});
  }
  output.rows(rows, {"name", "role", "until", "state", "serial"});
}

}  // namespace

int keys_init(const KeyAsk& ask, Output& output) {
  keys::Authority authority(ask.folder);
  authority.init(ask.name, std::chrono::hours(24 * 3650));  // ten years: its change means new keys for all
  output.line("authority of " + ask.name + " in " + ask.folder + "; keep ca.key away from the hosts");
  return fleet::all_done;
}

int keys_issue(const KeyAsk& ask, Output& output) {
  keys::Authority authority(ask.folder);
  tell({authority.issue(ask.name, fleet::parse_role(ask.role), std::chrono::hours(24 * ask.days))}, {},
       output);
  return fleet::all_done;
}

int keys_revoke(const KeyAsk& ask, Output& output) {
  keys::Authority authority(ask.folder);
  const keys::Certificate one = keys::read_certificate(authority.path(ask.name + ".pem"));
  authority.revoke(one);
  output.line(one.name + " is revoked; give " + authority.path("ca.crl") + " to the agents");
  return fleet::all_done;
}

int keys_show(const KeyAsk& ask, Output& output) {
  keys::Authority authority(ask.folder);
  if (!ask.file.empty()) {
    tell({keys::read_certificate(ask.file)}, {}, output);
    return fleet::all_done;
  }
  tell(authority.issued(), keys::revoked_serials(authority.path("ca.crl"), authority.path("ca.pem")), output);
  return fleet::all_done;
}

}  // namespace pearchute::ctl
