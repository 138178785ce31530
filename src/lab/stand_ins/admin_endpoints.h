// Stand-in admin endpoints: managers that do no work, of this version or an older one, and places where
// somebody listens and never says a word.
#pragma once

#include <memory>
#include <string>

#include "admin.pb.h"
#include "admin/admin_config.h"
#include "admin/admin_server.h"

namespace pearchute::lab {

class StandInManager final : public admin::CallHandler {
 public:
  // An older one knows `who` only.
  StandInManager(net::Loop& loop, const std::string& path, std::string name, bool older = false)
      : name_(std::move(name)), older_(older), admin_server_(loop, config_at(path), *this) {}

 private:
  static admin::AdminConfig config_at(const std::string& path) {
    admin::AdminConfig config;
    config.listen = admin::parse_endpoint("unix:" + path);
    return config;
  }
  void identify(admin::v1::Identity& identity) const {
    identity.set_name(name_), identity.set_build(older_ ? "0.9" : "stand-in"), identity.set_phase("serving");
    identity.set_rest("serving"), identity.set_started_unix_ms(1), identity.set_protocol(1);
  }
  void answer(const admin::v1::Call& call, admin::v1::Reply& reply) override {
    if (call.has_who()) return identify(*reply.mutable_identity());
    if (older_ || !call.has_status()) {
      reply.set_outcome(admin::v1::unknown_call);
      return;
    }
    identify(*reply.mutable_status()->mutable_identity());
    reply.mutable_status()->set_counters("{}");
  }

  const std::string name_;
  const bool older_;
  admin::AdminServer admin_server_;
};

// Takes connections up to its backlog and answers none.
class SilentPlace {
 public:
  explicit SilentPlace(const std::string& path);
  ~SilentPlace();

 private:
  int socket_ = -1;
  const std::string path_;
};

// Runs a program to its end; what it wrote to standard output, and its exit status. The status is -1 where a
// signal ended it.
struct Ran {
  int status = -1;
  std::string out;
  double seconds = 0;
};
Ran run_program(const std::string& program, const std::vector<std::string>& arguments,
                const std::vector<std::pair<std::string, std::string>>& environment = {});

}  // namespace pearchute::lab
