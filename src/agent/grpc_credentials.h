// gRPC's side of certificates: channels to agents, an agent's own listening, and who stands behind a call.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "fleet/roles.h"
#include "keys/reach.h"

namespace pearchute::agent {

// `name` is the agent's, which its certificate has to say. Throws keys::Error where a file can't be read.
std::shared_ptr<grpc::Channel> channel_to(const keys::Reach& reach, const std::string& name,
                                          const keys::Files& files);
std::shared_ptr<grpc::ServerCredentials> credentials_by(const keys::Files& files);

struct Caller {
  std::string name;
  std::optional<fleet::Role> role;
  std::string serial;
};
// By the certificate; one at the Unix socket is this user itself, and may do what an agent may.
Caller caller_of(const grpc::ServerContext& context);

// The revocations, read again when their file changes. A file that can't be used leaves them as they were.
class Revocations {
 public:
  explicit Revocations(const keys::Files& files);  // throws keys::Error
  bool hold(const std::string& serial);

 private:
  void read();

  const keys::Files files_;
  std::mutex mutex_;
  std::set<std::string> serials_;
  std::int64_t changed_ = 0;
};

}  // namespace pearchute::agent
