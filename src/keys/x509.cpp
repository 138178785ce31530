#include "keys/x509.h"

#include <array>
#include <ctime>
#include <functional>

#include "errors/error.h"

namespace pearchute::keys {

namespace {

// A certificate states a role as a subject alternative name: a URI of this prefix and the role's name.
constexpr std::string_view role_uri_prefix = "pearchute:role:";
constexpr std::size_t name_buffer_bytes = 128;

BioHandle reader_of(const std::string& pem) {
  return BioHandle(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
}

std::string text_written_by(const std::function<int(BIO*)>& write) {
  const BioHandle memory(BIO_new(BIO_s_mem()));
  if (!write(memory.get()))
    throw KeysError("OpenSSL can't encode a key, certificate or revocation list as PEM");
  char* data = nullptr;
  const long size = BIO_get_mem_data(memory.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

std::chrono::system_clock::time_point time_of(const ASN1_TIME* time) {
  std::tm parts{};
  ASN1_TIME_to_tm(time, &parts);
  return std::chrono::system_clock::from_time_t(::timegm(&parts));
}

std::string common_name_of(X509* certificate) {
  std::array<char, name_buffer_bytes> name{};
  X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name.data(),
                            static_cast<int>(name.size()));
  return name.data();
}

std::string text_of(const ASN1_STRING* string) {
  return {reinterpret_cast<const char*>(ASN1_STRING_get0_data(string)),
          static_cast<std::size_t>(ASN1_STRING_length(string))};
}

std::optional<fleet::Role> role_of(X509* certificate) {
  std::optional<fleet::Role> role;
  const GeneralNamesHandle names(
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr)));
  for (int i = 0; names && i < sk_GENERAL_NAME_num(names.get()); ++i) {
    const GENERAL_NAME* name = sk_GENERAL_NAME_value(names.get(), i);
    if (name->type != GEN_URI) continue;
    const std::string uri = text_of(name->d.uniformResourceIdentifier);
    if (uri.starts_with(role_uri_prefix)) role = fleet::parse_role(uri.substr(role_uri_prefix.size()));
  }
  return role;
}

}  // namespace

CertificateHandle certificate_from_pem(const std::string& pem) {
  CertificateHandle certificate(PEM_read_bio_X509(reader_of(pem).get(), nullptr, nullptr, nullptr));
  if (!certificate) throw KeysError("not a certificate in PEM format");
  return certificate;
}

KeyHandle key_from_pem(const std::string& pem) {
  KeyHandle key(PEM_read_bio_PrivateKey(reader_of(pem).get(), nullptr, nullptr, nullptr));
  if (!key) throw KeysError("not a private key in PEM format");
  return key;
}

RevocationListHandle revocation_list_from_pem(const std::string& pem, const std::string& file) {
  RevocationListHandle list(PEM_read_bio_X509_CRL(reader_of(pem).get(), nullptr, nullptr, nullptr));
  if (!list) throw KeysError("not a revocation list in PEM format", file);
  return list;
}

std::string to_pem(X509* certificate) {
  return text_written_by([&](BIO* out) { return PEM_write_bio_X509(out, certificate); });
}

std::string to_pem(EVP_PKEY* key) {
  return text_written_by([&](BIO* out) {
    return PEM_write_bio_PKCS8PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
  });
}

std::string to_pem(X509_CRL* list) {
  return text_written_by([&](BIO* out) { return PEM_write_bio_X509_CRL(out, list); });
}

std::string serial_text(const ASN1_INTEGER* number) {
  const BigNumberHandle big_number(ASN1_INTEGER_to_BN(number, nullptr));
  char* text = BN_bn2hex(big_number.get());
  std::string hex(text);
  OPENSSL_free(text);
  return hex;
}

Certificate describe(X509* certificate) {
  Certificate description;
  description.name = common_name_of(certificate);
  description.serial = serial_text(X509_get0_serialNumber(certificate));
  description.valid_from = time_of(X509_get0_notBefore(certificate));
  description.valid_until = time_of(X509_get0_notAfter(certificate));
  description.role = role_of(certificate);
  return description;
}

std::string role_uri(fleet::Role role) {
  return std::string(role_uri_prefix) + std::string(fleet::name_of(role));
}

}  // namespace pearchute::keys
