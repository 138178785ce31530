// X.509 objects: to and from PEM text, and what they state. Private to src/keys.
//
// All functions throw KeysError where text can't be parsed or written.
#pragma once

#include <string>

#include "fleet/roles.h"
#include "keys/certificate.h"
#include "keys/openssl_handles.h"

namespace pearchute::keys {

CertificateHandle certificate_from_pem(const std::string& pem);
KeyHandle key_from_pem(const std::string& pem);
// `file` is named in the error.
RevocationListHandle revocation_list_from_pem(const std::string& pem, const std::string& file);

std::string to_pem(X509* certificate);
std::string to_pem(EVP_PKEY* key);  // not encrypted
std::string to_pem(X509_CRL* list);

// In hexadecimal.
std::string serial_text(const ASN1_INTEGER* serial);
// The alternative name (a URI) by which a certificate states its holder's role.
std::string role_uri(fleet::Role role);
Certificate describe(X509* certificate);

}  // namespace pearchute::keys
