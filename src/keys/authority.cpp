#include "keys/authority.h"

#include <algorithm>
#include <cctype>
#include <filesystem>

#include "keys/pem_file.h"
#include "keys/x509.h"

namespace pearchute::keys {

namespace {

constexpr mode_t public_file_mode = 0644;
constexpr mode_t private_file_mode = 0600;
// X.509 encodes a version as its number less one.
constexpr long x509_version_3 = 2;
constexpr long crl_version_2 = 1;
constexpr int serial_bits = 120;
constexpr std::size_t max_name_length = 60;
// Validity starts in the past, since the clocks of a site differ a little.
constexpr std::chrono::seconds backdated_by = std::chrono::hours(1);
// Each revocation replaces the list, however old it is, so the list is made valid for ten years.
constexpr std::chrono::seconds revocation_list_lifetime = std::chrono::hours(10 * 365 * 24);

// Throws KeysError for a null pointer, which OpenSSL returns if it can't create an object.
template <class Pointer>
Pointer created(Pointer object, const char* description) {
  if (!object) throw Error("OpenSSL can't create " + std::string(description));
  return object;
}

KeyHandle new_key() { return KeyHandle(created(EVP_EC_gen("P-256"), "a key")); }

void add_extension(X509* certificate, X509* issuer, int nid, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  const ExtensionHandle extension(X509V3_EXT_conf_nid(nullptr, &context, nid, value.c_str()));
  if (!extension) throw Error("can't add the extension '" + value + "' to the certificate");
  X509_add_ext(certificate, extension.get(), -1);
}

void set_random_serial(X509* certificate) {
  const BigNumberHandle serial(BN_new());
  BN_rand(serial.get(), serial_bits, BN_RAND_TOP_ONE, BN_RAND_BOTTOM_ANY);
  BN_to_ASN1_INTEGER(serial.get(), X509_get_serialNumber(certificate));
}

// Creates a certificate that is not signed yet. If `issuer` is null, the certificate names itself as its
// issuer.
CertificateHandle new_certificate(const std::string& name, EVP_PKEY* key, X509* issuer,
                                  std::chrono::seconds lifetime) {
  CertificateHandle certificate(created(X509_new(), "a certificate"));
  X509_set_version(certificate.get(), x509_version_3);
  set_random_serial(certificate.get());
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -static_cast<long>(backdated_by.count()));
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), static_cast<long>(lifetime.count()));
  X509_NAME* subject = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(name.data()),
                             static_cast<int>(name.size()), -1, 0);
  X509_set_issuer_name(certificate.get(), issuer ? X509_get_subject_name(issuer) : subject);
  X509_set_pubkey(certificate.get(), key);
  return certificate;
}

std::string invalid_name(const std::string& kind, const std::string& name) {
  return "invalid " + kind + " '" + name + "'; expected 1 to " + std::to_string(max_name_length) +
         " letters, digits, '-', '_' or '.', without a leading '.', and not 'ca'";
}

bool is_valid_name(const std::string& name) {
  const auto is_valid = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
  return !name.empty() && name.size() <= max_name_length && name.front() != '.' && name != "ca" &&
         std::ranges::all_of(name, is_valid);
}

void sign_list(X509_CRL* list, EVP_PKEY* key) {
  const TimeHandle now(X509_gmtime_adj(nullptr, 0));
  const TimeHandle next_update(X509_gmtime_adj(nullptr, static_cast<long>(revocation_list_lifetime.count())));
  X509_CRL_set1_lastUpdate(list, now.get());
  X509_CRL_set1_nextUpdate(list, next_update.get());
  X509_CRL_sort(list);
  if (!X509_CRL_sign(list, key, EVP_sha256())) throw Error("can't sign the revocation list");
}

void add_revocation(X509_CRL* list, const std::string& serial_hex) {
  BIGNUM* parsed = nullptr;
  if (!BN_hex2bn(&parsed, serial_hex.c_str()))
    throw Error("expected a serial number in hexadecimal, got '" + serial_hex + "'");
  const BigNumberHandle number(parsed);
  const IntegerHandle serial(BN_to_ASN1_INTEGER(number.get(), nullptr));
  const TimeHandle now(X509_gmtime_adj(nullptr, 0));
  X509_REVOKED* revocation = created(X509_REVOKED_new(), "a revocation");
  X509_REVOKED_set_serialNumber(revocation, serial.get());
  X509_REVOKED_set_revocationDate(revocation, now.get());
  X509_CRL_add0_revoked(list, revocation);  // takes ownership
}

}  // namespace

void Authority::init(const std::string& site, std::chrono::hours lifetime) {
  if (!is_valid_name(site)) throw Error(invalid_name("site name", site));
  std::error_code ignored;  // if the folder can't be created, write_pem_file throws
  std::filesystem::create_directories(folder_, ignored);
  if (std::filesystem::exists(path("ca.key")))
    throw Error("already holds an authority", folder_, "use it, or name another folder");

  const KeyHandle key = new_key();
  const CertificateHandle certificate = new_certificate(site, key.get(), nullptr, lifetime);
  add_extension(certificate.get(), certificate.get(), NID_basic_constraints, "critical,CA:TRUE,pathlen:0");
  add_extension(certificate.get(), certificate.get(), NID_key_usage, "critical,keyCertSign,cRLSign");
  if (!X509_sign(certificate.get(), key.get(), EVP_sha256()))
    throw Error("can't sign the authority's certificate");

  const RevocationListHandle list(created(X509_CRL_new(), "a revocation list"));
  X509_CRL_set_version(list.get(), crl_version_2);
  X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(certificate.get()));
  sign_list(list.get(), key.get());

  // Writes the key last, since its presence marks a complete authority.
  write_pem_file(path("ca.crl"), to_pem(list.get()), public_file_mode);
  write_pem_file(path("ca.pem"), to_pem(certificate.get()), public_file_mode);
  write_pem_file(path("ca.key"), to_pem(key.get()), private_file_mode);
}

Certificate Authority::issue(const std::string& name, std::optional<fleet::Role> role,
                             std::chrono::seconds lifetime) {
  if (!is_valid_name(name)) throw Error(invalid_name("certificate name", name));
  const KeyHandle authority_key = key_from_pem(read_pem_file(path("ca.key")));
  const CertificateHandle issuer = certificate_from_pem(read_pem_file(path("ca.pem")));
  const KeyHandle key = new_key();
  const CertificateHandle certificate = new_certificate(name, key.get(), issuer.get(), lifetime);
  add_extension(certificate.get(), issuer.get(), NID_basic_constraints, "critical,CA:FALSE");
  add_extension(certificate.get(), issuer.get(), NID_ext_key_usage, "serverAuth,clientAuth");
  std::string alternative_names = "DNS:" + name;
  if (role) alternative_names += ",URI:" + role_uri(*role);
  add_extension(certificate.get(), issuer.get(), NID_subject_alt_name, alternative_names);
  if (!X509_sign(certificate.get(), authority_key.get(), EVP_sha256()))
    throw Error("can't sign the certificate of " + name);
  write_pem_file(path(name + ".key"), to_pem(key.get()), private_file_mode);
  write_pem_file(path(name + ".pem"), to_pem(certificate.get()), public_file_mode);
  return describe(certificate.get());
}

void Authority::revoke(const Certificate& certificate) {
  const std::string list_file = path("ca.crl");
  const KeyHandle authority_key = key_from_pem(read_pem_file(path("ca.key")));
  const RevocationListHandle list = revocation_list_from_pem(read_pem_file(list_file), list_file);
  const std::vector<std::string> revoked = revoked_serials(list_file, path("ca.pem"));
  if (std::ranges::find(revoked, certificate.serial) != revoked.end()) return;
  add_revocation(list.get(), certificate.serial);
  sign_list(list.get(), authority_key.get());
  write_pem_file(list_file, to_pem(list.get()), public_file_mode);
}

std::vector<Certificate> Authority::issued() const {
  std::vector<Certificate> certificates;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
    if (entry.path().extension() == ".pem" && entry.path().stem() != "ca")
      certificates.push_back(read_certificate(entry.path().string()));
  }
  std::ranges::sort(certificates, {}, &Certificate::name);
  return certificates;
}

}  // namespace pearchute::keys
