#include "agent/grpc_credentials.h"

#include <sys/stat.h>

#include "keys/authority.h"
#include "net/log.h"

namespace pearchute::agent {

std::shared_ptr<grpc::Channel> channel_to(const keys::Reach& reach, const std::string& name,
                                          const keys::Files& files) {
  // Guards against a line that is mended and not used: left to itself the library waits up to two minutes
  // after a few refused connects. Whoever calls has pauses of its own; a connect is given as long as a call.
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1500);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  if (!reach.tls)
    return grpc::CreateCustomChannel(reach.target, grpc::InsecureChannelCredentials(), arguments);
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = keys::text_of(files.authority);
  options.pem_cert_chain = keys::text_of(files.certificate);
  options.pem_private_key = keys::text_of(files.key);
  arguments.SetSslTargetNameOverride(name);
  return grpc::CreateCustomChannel(reach.target, grpc::SslCredentials(options), arguments);
}

std::shared_ptr<grpc::ServerCredentials> credentials_by(const keys::Files& files) {
  grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = keys::text_of(files.authority);
  options.pem_key_cert_pairs = {{keys::text_of(files.key), keys::text_of(files.certificate)}};
  return grpc::SslServerCredentials(options);
}

Caller caller_of(const grpc::ServerContext& context) {
  if (context.peer().starts_with("unix:")) return {"", fleet::Role::agent, ""};
  const auto shown = context.auth_context()->FindPropertyValues(GRPC_X509_PEM_CERT_PROPERTY_NAME);
  if (shown.empty()) return {};
  try {
    const keys::Certificate certificate = keys::certificate_in({shown.front().data(), shown.front().size()});
    return {certificate.name, certificate.role, certificate.serial};
  } catch (const keys::Error&) {
    return {};
  }
}

Revocations::Revocations(const keys::Files& files) : files_(files) {
  if (!files_.revoked.empty()) read();
}

void Revocations::read() {
  const auto serials = keys::revoked_by(files_.revoked, files_.authority);
  serials_ = {serials.begin(), serials.end()};
  struct stat what {};
  if (::stat(files_.revoked.c_str(), &what) == 0)
    changed_ = what.st_mtim.tv_sec * 1'000'000'000 + what.st_mtim.tv_nsec;
}

bool Revocations::hold(const std::string& serial) {
  if (files_.revoked.empty()) return false;
  const std::lock_guard lock(mutex_);
  struct stat what {};
  const bool there = ::stat(files_.revoked.c_str(), &what) == 0;
  if (there && what.st_mtim.tv_sec * 1'000'000'000 + what.st_mtim.tv_nsec != changed_) {
    try {
      read();
    } catch (const pearchute::Error& fault) {
      PEARCHUTE_LOG(spdlog::level::err, "the revocations stay as they were: {}", fault.what());
    }
  }
  return serials_.contains(serial);
}

}  // namespace pearchute::agent
