// gRPC's side of certificates: channels to agents, the credentials of an agent's own server, who makes a
// call, and whether its certificate is revoked.
#pragma once

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "fleet/roles.h"
#include "keys/endpoint.h"
#include "keys/tls_files.h"

namespace pearchute::agent {

// `name` is the agent's, which its certificate has to state. Throws KeysError where a file can't be read,
// ResourceShortage where it can't be read now.
std::shared_ptr<grpc::Channel> channel_to(const keys::Endpoint& endpoint, const std::string& name,
                                          const keys::TlsFiles& files);
// Requires each client to present a certificate of the authority. Throws as channel_to does.
std::shared_ptr<grpc::ServerCredentials> server_credentials(const keys::TlsFiles& files);

// Who makes a call, by its certificate. Without a role it may do nothing.
struct CallerIdentity {
  std::string name;
  std::optional<fleet::Role> role;
  std::string serial;  // of the certificate; empty at the Unix socket
};

// A caller at the Unix socket is this user itself, and may do what an agent may.
CallerIdentity identity_of(const grpc::ServerContext& context);

// The authority's list of revoked certificates, read again when its file changes. Thread-safe.
class Revocations {
 public:
  // Throws KeysError where the list can't be used, ResourceShortage where it can't be read now. Without a
  // list in `files` nothing is revoked.
  explicit Revocations(const keys::TlsFiles& files);
  // A changed file that can't be used is logged, and leaves the revocations as they were.
  bool is_revoked(const std::string& serial);

 private:
  void read();
  std::optional<std::int64_t> modification_time_ns() const;

  const keys::TlsFiles files_;
  std::mutex mutex_;  // guards what follows
  std::set<std::string> serials_;
  std::int64_t read_modification_time_ns_ = 0;
};

}  // namespace pearchute::agent
