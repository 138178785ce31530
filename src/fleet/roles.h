// Which role may do what at an agent. Roles come from clients' certificates. Stateless.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pearchute::fleet {

// The role that a certificate names.
enum class Role { read, operate, admin, agent };
// None where no role has that name.
std::optional<Role> parse_role(std::string_view name);
// Name in certificates and messages.
std::string_view name_of(Role role);

// What a call does, as far as permission depends on it.
enum class Action {
  look,  // changes nothing
  change,
  take_over,  // ends another operation's leases
};

// Why a caller is denied an action, for operators; none where it is allowed. `who` is the name in the
// caller's certificate, `as` the name under which it acts: operators act under their own only, agents carry
// out what operators have requested.
std::optional<std::string> denial_reason(Role role, Action action, std::string_view who, std::string_view as);

}  // namespace pearchute::fleet
