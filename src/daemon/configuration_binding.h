// Applies versions of the fleet's configuration to a running manager. A version is delivered as a candidate
// file beside the manager's own configuration file. The candidate is validated as at a start and renamed over
// that file, and the settings that can change at run time are applied as by SIGHUP. A version older than the
// accepted one is refused. The version is part of the file, so a restart keeps it.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "admin.pb.h"
#include "fleet/config_version.h"

namespace pearchute::daemon {

// The configuration versions of one manager.
class ConfigurationBinding {
 public:
  // Reads `file`, which the program has just loaded.
  explicit ConfigurationBinding(const std::string& file);
  // Applies the version that the call names, or reports its state where it is accepted already.
  void configure(const admin::v1::Configure& call, admin::v1::Reply& reply);
  // Sets the version in force; leaves it unset where the configuration names none.
  void fill_status(admin::v1::Status& status) const;
  // Call after the program has handled a pending SIGHUP.
  void on_poll();

 private:
  // Returns why the candidate is refused; empty where it is accepted.
  std::string apply_candidate(const fleet::ConfigMark& version);
  std::string settings_that_need_restart(const nlohmann::json& next) const;

  const std::string file_;
  nlohmann::json configuration_at_start_;
  std::string channel_;
  fleet::ConfigMark accepted_;  // the version in the file
  fleet::ConfigMark in_force_;  // the version of which all settings are applied
  bool applying_ = false;       // SIGHUP has been raised and is not handled yet
  std::string needs_restart_;   // settings of the accepted version that need a restart, comma-separated
};

}  // namespace pearchute::daemon
