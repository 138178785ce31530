#include "agent/grpc_credentials.h"

#include <sys/stat.h>

#include "keys/certificate.h"
#include "keys/pem_file.h"
#include "net/log.h"

namespace pearchute::agent {

namespace {

// gRPC's default backoff grows to two minutes after a few refused connects, so that an agent would stay
// disconnected long after the network has recovered. A short one is safe, since Peers' callers pause between
// RPCs themselves. A connect may take as long as an RPC.
constexpr int initial_reconnect_backoff_ms = 200;
constexpr int connect_timeout_ms = 1500;
constexpr int max_reconnect_backoff_ms = 1000;

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

grpc::ChannelArguments reconnect_arguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_backoff_ms);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_timeout_ms);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
  return arguments;
}

}  // namespace

std::shared_ptr<grpc::Channel> channel_to(const keys::Endpoint& endpoint, const std::string& name,
                                          const keys::TlsFiles& files) {
  grpc::ChannelArguments arguments = reconnect_arguments();
  if (!endpoint.tls)
    return grpc::CreateCustomChannel(endpoint.target, grpc::InsecureChannelCredentials(), arguments);
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = keys::read_pem_file(files.authority);
  options.pem_cert_chain = keys::read_pem_file(files.certificate);
  options.pem_private_key = keys::read_pem_file(files.key);
  arguments.SetSslTargetNameOverride(name);
  return grpc::CreateCustomChannel(endpoint.target, grpc::SslCredentials(options), arguments);
}

std::shared_ptr<grpc::ServerCredentials> server_credentials(const keys::TlsFiles& files) {
  grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = keys::read_pem_file(files.authority);
  options.pem_key_cert_pairs = {{keys::read_pem_file(files.key), keys::read_pem_file(files.certificate)}};
  return grpc::SslServerCredentials(options);
}

CallerIdentity identity_of(const grpc::ServerContext& context) {
  if (context.peer().starts_with("unix:")) return {"", fleet::Role::agent, ""};
  const auto presented = context.auth_context()->FindPropertyValues(GRPC_X509_PEM_CERT_PROPERTY_NAME);
  if (presented.empty()) return {};
  try {
    const keys::Certificate certificate =
        keys::parse_certificate({presented.front().data(), presented.front().size()});
    return {certificate.name, certificate.role, certificate.serial};
  } catch (const keys::Error&) {
    return {};
  }
}

Revocations::Revocations(const keys::TlsFiles& files) : files_(files) {
  if (!files_.revoked.empty()) read();
}

void Revocations::read() {
  const std::vector<std::string> serials = keys::revoked_serials(files_.revoked, files_.authority);
  serials_ = {serials.begin(), serials.end()};
  if (const auto modified = modification_time_ns()) read_modification_time_ns_ = *modified;
}

bool Revocations::is_revoked(const std::string& serial) {
  if (files_.revoked.empty()) return false;
  const std::lock_guard lock(mutex_);
  const std::optional<std::int64_t> modified = modification_time_ns();
  if (modified && *modified != read_modification_time_ns_) {
    try {
      read();
    } catch (const pearchute::Error& error) {
      PEARCHUTE_LOG(spdlog::level::err,
                    "can't reload the revocation list; the previous one stays in effect: {}", error.what());
    }
  }
  return serials_.contains(serial);
}

// Returns nullopt if there is no such file.
std::optional<std::int64_t> Revocations::modification_time_ns() const {
  struct stat status {};
  if (::stat(files_.revoked.c_str(), &status) != 0) return std::nullopt;
  return status.st_mtim.tv_sec * nanoseconds_per_second + status.st_mtim.tv_nsec;
}

}  // namespace pearchute::agent
