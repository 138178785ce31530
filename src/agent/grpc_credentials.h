// TLS for the agents' RPCs: channels to agents, the credentials of an agent's server, the identity of a
// caller, and the revocation of certificates.
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

// Opens a channel to the agent `name`, whose certificate must state that name. Throws KeysError if a file
// can't be read, ResourceShortage if it temporarily can't be read.
std::shared_ptr<grpc::Channel> channel_to(const keys::Endpoint& endpoint, const std::string& name,
                                          const keys::TlsFiles& files);
// Credentials that require each client to present a certificate of the authority. Throws what channel_to
// throws.
std::shared_ptr<grpc::ServerCredentials> server_credentials(const keys::TlsFiles& files);

// The identity of an RPC's caller, from its certificate. A caller without a role has no rights.
struct CallerIdentity {
  std::string name;
  std::optional<fleet::Role> role;
  std::string serial;  // of the certificate; empty for a caller at the Unix socket
};

// Only the agent's own user can open the Unix socket, so a caller there gets the role `agent`.
CallerIdentity identity_of(const grpc::ServerContext& context);

// The authority's list of revoked certificates. Reloads the file when it changes. Thread-safe.
class Revocations {
 public:
  // If `files` names no revocation list, no certificate is revoked. Throws KeysError if the list can't be
  // used, ResourceShortage if it temporarily can't be read.
  explicit Revocations(const keys::TlsFiles& files);
  // If the changed file can't be used, logs the error and keeps the previous list.
  bool is_revoked(const std::string& serial);

 private:
  void read();
  std::optional<std::int64_t> modification_time_ns() const;

  const keys::TlsFiles files_;
  std::mutex mutex_;  // guards the members below
  std::set<std::string> serials_;
  std::int64_t read_modification_time_ns_ = 0;
};

}  // namespace pearchute::agent
