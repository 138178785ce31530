#include "keys/authority.h"

#include <fcntl.h>
#include <openssl/bn.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>

#include "system/files.h"

namespace pearchute::keys {

namespace {

template <auto release>
struct Release {
  template <class Thing>
  void operator()(Thing* thing) const {
    release(thing);
  }
};
using Key = std::unique_ptr<EVP_PKEY, Release<EVP_PKEY_free>>;
using Cert = std::unique_ptr<X509, Release<X509_free>>;
using List = std::unique_ptr<X509_CRL, Release<X509_CRL_free>>;
using Memory = std::unique_ptr<BIO, Release<BIO_free_all>>;

// The role stands in a certificate as a name of this form.
constexpr std::string_view role_mark = "pearchute:role:";

template <class Thing>
Thing need(Thing thing, const char* what) {
  if (!thing) throw Error(std::string(what) + " can't be made");
  return thing;
}

std::string pem_of(const std::function<int(BIO*)>& write) {
  const Memory memory(BIO_new(BIO_s_mem()));
  if (!write(memory.get())) throw Error("a key or certificate can't be written out");
  char* data = nullptr;
  const long size = BIO_get_mem_data(memory.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

// Whole or not at all, with the rights that it is to have from its first moment.
void put(const std::string& file, const std::string& text, mode_t mode) {
  const std::string beside = file + ".new";
  ::unlink(beside.c_str());
  const int descriptor =
      uninterrupted([&] { return ::open(beside.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode); });
  const auto refuse = [&] {
    const std::string why = text_of_last_error();
    if (descriptor >= 0) ::close(descriptor);
    ::unlink(beside.c_str());
    throw Error("can't be written: " + why, file, "see the disk and who may write there");
  };
  if (descriptor < 0 || !write_all(descriptor, text) || ::fsync(descriptor) != 0) refuse();
  if (std::rename(beside.c_str(), file.c_str()) != 0) refuse();
  ::close(descriptor);
}

Cert certificate_from(const std::string& pem) {
  const Memory memory(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  Cert certificate(PEM_read_bio_X509(memory.get(), nullptr, nullptr, nullptr));
  if (!certificate) throw Error("not a certificate");
  return certificate;
}

Key key_from(const std::string& pem) {
  const Memory memory(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  Key key(PEM_read_bio_PrivateKey(memory.get(), nullptr, nullptr, nullptr));
  if (!key) throw Error("not a key");
  return key;
}

void extend(X509* to, X509* issuer, int what, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, issuer, to, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, what, value.c_str());
  if (!extension) throw Error("a certificate can't say " + value);
  X509_add_ext(to, extension, -1);
  X509_EXTENSION_free(extension);
}

Cert make(const std::string& name, EVP_PKEY* key, X509* issuer, std::chrono::seconds lasts) {
  Cert certificate(need(X509_new(), "a certificate"));
  X509_set_version(certificate.get(), 2);
  const std::unique_ptr<BIGNUM, Release<BN_free>> serial(BN_new());
  BN_rand(serial.get(), 120, BN_RAND_TOP_ONE, BN_RAND_BOTTOM_ANY);
  BN_to_ASN1_INTEGER(serial.get(), X509_get_serialNumber(certificate.get()));
  // An hour back: clocks of a site differ a little.
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), static_cast<long>(lasts.count()));
  X509_NAME* subject = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(name.data()),
                             static_cast<int>(name.size()), -1, 0);
  X509_set_issuer_name(certificate.get(), issuer ? X509_get_subject_name(issuer) : subject);
  X509_set_pubkey(certificate.get(), key);
  return certificate;
}

bool name_fits(const std::string& name) {
  return !name.empty() && name.size() <= 60 && name.front() != '.' && name != "ca" &&
         std::ranges::all_of(
             name, [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

std::chrono::system_clock::time_point time_of(const ASN1_TIME* time) {
  std::tm parts{};
  ASN1_TIME_to_tm(time, &parts);
  return std::chrono::system_clock::from_time_t(::timegm(&parts));
}

std::string hex_of(const ASN1_INTEGER* number) {
  const std::unique_ptr<BIGNUM, Release<BN_free>> big(ASN1_INTEGER_to_BN(number, nullptr));
  char* text = BN_bn2hex(big.get());
  std::string hex(text);
  OPENSSL_free(text);
  return hex;
}

Certificate describe(X509* certificate) {
  Certificate told;
  char name[128] = {};
  X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name, sizeof name);
  told.name = name;
  told.serial = hex_of(X509_get0_serialNumber(certificate));
  told.from = time_of(X509_get0_notBefore(certificate)),
  told.until = time_of(X509_get0_notAfter(certificate));
  auto* names =
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr));
  for (int i = 0; names && i < sk_GENERAL_NAME_num(names); ++i) {
    const GENERAL_NAME* one = sk_GENERAL_NAME_value(names, i);
    if (one->type != GEN_URI) continue;
    const std::string uri(
        reinterpret_cast<const char*>(ASN1_STRING_get0_data(one->d.uniformResourceIdentifier)),
        static_cast<std::size_t>(ASN1_STRING_length(one->d.uniformResourceIdentifier)));
    if (uri.starts_with(role_mark)) told.role = fleet::role_in(uri.substr(role_mark.size()));
  }
  GENERAL_NAMES_free(names);
  return told;
}

// A list good for ten years: it is replaced with each revocation, and its age says nothing.
void sign_list(X509_CRL* list, EVP_PKEY* key) {
  const std::unique_ptr<ASN1_TIME, Release<ASN1_TIME_free>> now(X509_gmtime_adj(nullptr, 0)),
      next(X509_gmtime_adj(nullptr, 10L * 365 * 24 * 3600));
  X509_CRL_set1_lastUpdate(list, now.get()), X509_CRL_set1_nextUpdate(list, next.get());
  X509_CRL_sort(list);
  if (!X509_CRL_sign(list, key, EVP_sha256())) throw Error("the list of revocations can't be signed");
}

}  // namespace

std::string text_of(const std::string& file) {
  try {
    return read_file(file);
  } catch (const ResourceShortage&) {
    throw;
  } catch (const SystemError& error) {
    throw Error(error.wrong(), file, error.remedy());
  }
}

void Authority::init(const std::string& site, std::chrono::hours lasts) {
  if (!name_fits(site)) throw Error("'" + site + "' is no name for a site");
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (std::filesystem::exists(path("ca.key")))
    throw Error("holds an authority already", folder_, "use it, or name another folder");
  const Key key(need(EVP_EC_gen("P-256"), "a key"));
  const Cert certificate = make(site, key.get(), nullptr, lasts);
  extend(certificate.get(), certificate.get(), NID_basic_constraints, "critical,CA:TRUE,pathlen:0");
  extend(certificate.get(), certificate.get(), NID_key_usage, "critical,keyCertSign,cRLSign");
  if (!X509_sign(certificate.get(), key.get(), EVP_sha256())) throw Error("the authority can't sign itself");
  const List list(need(X509_CRL_new(), "a list"));
  X509_CRL_set_version(list.get(), 1);
  X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(certificate.get()));
  sign_list(list.get(), key.get());
  put(path("ca.crl"), pem_of([&](BIO* out) { return PEM_write_bio_X509_CRL(out, list.get()); }), 0644);
  put(path("ca.pem"), pem_of([&](BIO* out) { return PEM_write_bio_X509(out, certificate.get()); }), 0644);
  put(path("ca.key"), pem_of([&](BIO* out) {
        return PEM_write_bio_PKCS8PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
      }),
      0600);
}

Certificate Authority::issue(const std::string& name, std::optional<fleet::Role> role,
                             std::chrono::seconds lasts) {
  if (!name_fits(name)) throw Error("'" + name + "' is no name for a certificate");
  const Key authority = key_from(text_of(path("ca.key")));
  const Cert issuer = certificate_from(text_of(path("ca.pem")));
  const Key key(need(EVP_EC_gen("P-256"), "a key"));
  const Cert certificate = make(name, key.get(), issuer.get(), lasts);
  extend(certificate.get(), issuer.get(), NID_basic_constraints, "critical,CA:FALSE");
  extend(certificate.get(), issuer.get(), NID_ext_key_usage, "serverAuth,clientAuth");
  std::string names = "DNS:" + name;
  if (role) names += ",URI:" + std::string(role_mark) + std::string(fleet::word_for(*role));
  extend(certificate.get(), issuer.get(), NID_subject_alt_name, names);
  if (!X509_sign(certificate.get(), authority.get(), EVP_sha256())) throw Error("the authority can't sign");
  put(path(name + ".key"), pem_of([&](BIO* out) {
        return PEM_write_bio_PKCS8PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
      }),
      0600);
  put(path(name + ".pem"), pem_of([&](BIO* out) { return PEM_write_bio_X509(out, certificate.get()); }),
      0644);
  return describe(certificate.get());
}

void Authority::revoke(const Certificate& certificate) {
  const Key authority = key_from(text_of(path("ca.key")));
  const std::string text = text_of(path("ca.crl"));
  const Memory memory(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
  const List list(PEM_read_bio_X509_CRL(memory.get(), nullptr, nullptr, nullptr));
  if (!list) throw Error("no list of revocations", path("ca.crl"));
  const auto known = revoked_by(path("ca.crl"), path("ca.pem"));
  if (std::ranges::find(known, certificate.serial) != known.end()) return;
  BIGNUM* number = nullptr;
  if (!BN_hex2bn(&number, certificate.serial.c_str())) throw Error("no serial: " + certificate.serial);
  const std::unique_ptr<BIGNUM, Release<BN_free>> big(number);
  const std::unique_ptr<ASN1_INTEGER, Release<ASN1_INTEGER_free>> serial(BN_to_ASN1_INTEGER(number, nullptr));
  const std::unique_ptr<ASN1_TIME, Release<ASN1_TIME_free>> now(X509_gmtime_adj(nullptr, 0));
  X509_REVOKED* one = need(X509_REVOKED_new(), "a revocation");
  X509_REVOKED_set_serialNumber(one, serial.get());
  X509_REVOKED_set_revocationDate(one, now.get());
  X509_CRL_add0_revoked(list.get(), one);
  sign_list(list.get(), authority.get());
  put(path("ca.crl"), pem_of([&](BIO* out) { return PEM_write_bio_X509_CRL(out, list.get()); }), 0644);
}

std::vector<Certificate> Authority::issued() const {
  std::vector<Certificate> all;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
    if (entry.path().extension() == ".pem" && entry.path().stem() != "ca")
      all.push_back(read_certificate(entry.path().string()));
  }
  std::ranges::sort(all, {}, &Certificate::name);
  return all;
}

Certificate certificate_in(const std::string& pem) { return describe(certificate_from(pem).get()); }

Certificate read_certificate(const std::string& file) {
  const std::string text = text_of(file);
  try {
    return certificate_in(text);
  } catch (const Error& fault) {
    throw Error::within(file, fault);
  }
}

std::vector<std::string> revoked_by(const std::string& list_file, const std::string& authority_file) {
  const std::string text = text_of(list_file);
  const Memory memory(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
  const List list(PEM_read_bio_X509_CRL(memory.get(), nullptr, nullptr, nullptr));
  if (!list) throw Error("no list of revocations", list_file);
  const Cert authority = certificate_from(text_of(authority_file));
  if (X509_CRL_verify(list.get(), X509_get0_pubkey(authority.get())) != 1)
    throw Error("not signed by " + authority_file, list_file, "take the list that this authority wrote last");
  std::vector<std::string> serials;
  STACK_OF(X509_REVOKED)* revoked = X509_CRL_get_REVOKED(list.get());
  for (int i = 0; revoked && i < sk_X509_REVOKED_num(revoked); ++i)
    serials.push_back(hex_of(X509_REVOKED_get0_serialNumber(sk_X509_REVOKED_value(revoked, i))));
  return serials;
}

}  // namespace pearchute::keys
