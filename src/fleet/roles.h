// Who may do what at an agent, by the role in a certificate. It knows no certificate, and has no state.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pearchute::fleet {

enum class Role { read, operate, admin, agent };
std::optional<Role> parse_role(std::string_view word);
std::string_view name_of(Role role);

enum class Action { look, change, take_over };

// Why that one may not, in plain words; nothing where it may. `who` is the name in the certificate, `as` the
// one under which it acts: operators act under their own; agents carry out what operators have asked of them.
std::optional<std::string> denial_reason(Role role, Action act, std::string_view who, std::string_view as);

}  // namespace pearchute::fleet
