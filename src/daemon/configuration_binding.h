// A running manager under versions of the fleet's configuration. A version comes as a candidate beside the
// manager's own configuration file; it is checked as a start would check it, put in the file's place
// atomically, and what can change while the manager runs is applied as SIGHUP applies it. Nothing older than
// what was taken before is taken. The version stands in the file itself, so that it outlives the process.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "admin.pb.h"
#include "fleet/config_version.h"

namespace pearchute::daemon {

class ConfigurationBinding {
 public:
  // Reads the file as the program has just read it.
  explicit ConfigurationBinding(const std::string& file);
  void configure(const admin::v1::Configure& call, admin::v1::Reply& reply);
  void tell(admin::v1::Status& status) const;
  // The program has read the file again where it was asked to.
  void looked();

 private:
  // Empty where the candidate has been taken, else why not.
  std::string take(const fleet::ConfigMark& mark);
  std::string waiting_parts(const nlohmann::json& next) const;

  const std::string file_;
  nlohmann::json at_start_;
  std::string channel_;
  fleet::ConfigMark taken_;     // in the file
  fleet::ConfigMark in_force_;  // whole
  bool applying_ = false;
  std::string next_start_;  // what of the taken version waits for the next start
};

}  // namespace pearchute::daemon
