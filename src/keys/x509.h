// Converts X.509 objects to and from PEM text, and reads their fields. Private to src/keys.
//
// All functions throw KeysError if a text can't be parsed or written.
#pragma once

#include <string>

#include "fleet/roles.h"
#include "keys/certificate.h"
#include "keys/openssl_handles.h"

namespace pearchute::keys {

CertificateHandle certificate_from_pem(const std::string& pem);
KeyHandle key_from_pem(const std::string& pem);
// `file` is the place that an error names.
RevocationListHandle revocation_list_from_pem(const std::string& pem, const std::string& file);

std::string to_pem(X509* certificate);
std::string to_pem(EVP_PKEY* key);  // not encrypted
std::string to_pem(X509_CRL* list);

// The serial number in hexadecimal.
std::string serial_text(const ASN1_INTEGER* serial);
// The subject alternative name (a URI) by which a certificate states its holder's role.
std::string role_uri(fleet::Role role);
Certificate describe(X509* certificate);

}  // namespace pearchute::keys
