// Permissions of roles at an agent. A client's role comes from its certificate. Stateless.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pearchute::fleet {

// The role that a certificate names.
enum class Role { read, operate, admin, agent };
// Returns none if no role has the name.
std::optional<Role> parse_role(std::string_view name);
// Returns the name that certificates and messages use.
std::string_view name_of(Role role);

// The kind of a call, for permissions.
enum class Action {
  look,  // reads only
  change,
  take_over,  // ends another operation's leases
};

// Returns why a caller is denied an action, for operators; none if the action is allowed. `who` is the name
// in the caller's certificate, `as` the name under which it acts. Operators act under their own name only;
// agents act under any name, since they carry out operators' requests.
std::optional<std::string> denial_reason(Role role, Action action, std::string_view who, std::string_view as);

}  // namespace pearchute::fleet
