#include "keys/certificate.h"

#include "keys/pem_file.h"
#include "keys/x509.h"

namespace pearchute::keys {

Certificate parse_certificate(const std::string& pem) { return describe(certificate_from_pem(pem).get()); }

Certificate read_certificate(const std::string& file) {
  const std::string pem = read_pem_file(file);
  try {
    return parse_certificate(pem);
  } catch (const Error& error) {
    throw Error::within(file, error);
  }
}

std::vector<std::string> revoked_serials(const std::string& list_file, const std::string& authority_file) {
  const RevocationListHandle list = revocation_list_from_pem(read_pem_file(list_file), list_file);
  const CertificateHandle authority = certificate_from_pem(read_pem_file(authority_file));
  if (X509_CRL_verify(list.get(), X509_get0_pubkey(authority.get())) != 1)
    throw Error("not signed by " + authority_file, list_file, "use the latest list of this authority");
  std::vector<std::string> serials;
  STACK_OF(X509_REVOKED)* revoked = X509_CRL_get_REVOKED(list.get());
  for (int i = 0; revoked && i < sk_X509_REVOKED_num(revoked); ++i)
    serials.push_back(serial_text(X509_REVOKED_get0_serialNumber(sk_X509_REVOKED_value(revoked, i))));
  return serials;
}

}  // namespace pearchute::keys
