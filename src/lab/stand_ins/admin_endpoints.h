// Stand-in admin endpoints: managers that do no work, of this version or an older one, and listening sockets
// that never answer.
#pragma once

#include <memory>
#include <string>

#include "admin.pb.h"
#include "admin/admin_config.h"
#include "admin/admin_server.h"

namespace pearchute::lab {

class StandInManager final : public admin::CallHandler {
 public:
  // With `older`, it answers only the call `who`, and unknown_call to all others.
  StandInManager(net::Loop& loop, const std::string& path, std::string name, bool older = false)
      : name_(std::move(name)), is_older_(older), admin_server_(loop, config_at(path), *this) {}

 private:
  static admin::AdminConfig config_at(const std::string& path) {
    admin::AdminConfig config;
    config.listen = admin::parse_endpoint("unix:" + path);
    return config;
  }
  void identify(admin::v1::Identity& identity) const {
    identity.set_name(name_), identity.set_build(is_older_ ? "0.9" : "stand-in"),
        identity.set_phase("serving");
    identity.set_rest("serving"), identity.set_started_unix_ms(1), identity.set_protocol(1);
  }
  void answer(const admin::v1::Call& call, admin::v1::Reply& reply) override {
    if (call.has_who()) return identify(*reply.mutable_identity());
    if (is_older_ || !call.has_status()) {
      reply.set_outcome(admin::v1::unknown_call);
      return;
    }
    identify(*reply.mutable_status()->mutable_identity());
    reply.mutable_status()->set_counters("{}");
  }

  const std::string name_;
  const bool is_older_;
  admin::AdminServer admin_server_;
};

// A listening Unix socket that accepts nothing: connections wait in its backlog. Throws ListeningError.
class SilentPlace {
 public:
  explicit SilentPlace(const std::string& path);
  ~SilentPlace();

 private:
  int socket_ = -1;
  const std::string path_;
};

// The result of a program.
struct Ran {
  int status = -1;  // exit status; -1 after a signal
  std::string out;  // standard output
  double seconds = 0;
};
// Runs a program to its end, with /dev/null as standard input. Throws SystemError if it can't be started.
Ran run_program(const std::string& program, const std::vector<std::string>& arguments,
                const std::vector<std::pair<std::string, std::string>>& environment = {});

}  // namespace pearchute::lab
