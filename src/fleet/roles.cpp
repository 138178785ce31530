#include "fleet/roles.h"

#include <array>

namespace pearchute::fleet {

namespace {
constexpr std::array<std::string_view, 4> words = {"read", "operate", "admin", "agent"};
}  // namespace

std::optional<Role> parse_role(std::string_view word) {
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (words[i] == word) return static_cast<Role>(i);
  }
  return std::nullopt;
}

std::string_view name_of(Role role) { return words[static_cast<std::size_t>(role)]; }

std::optional<std::string> denial_reason(Role role, Action act, std::string_view who, std::string_view as) {
  if (act == Action::look || role == Role::agent) return std::nullopt;
  if (role == Role::read) return "the role read changes nothing";
  if (act == Action::take_over && role != Role::admin) return "a take-over needs the role admin";
  if (!as.empty() && as != who) return std::string(who) + " may not act as " + std::string(as);
  return std::nullopt;
}

}  // namespace pearchute::fleet
