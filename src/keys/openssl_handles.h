// Owning pointers to OpenSSL's objects. Private to src/keys.
#pragma once

#include <openssl/bn.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <memory>

namespace pearchute::keys {

template <auto Release>
struct OpenSslDeleter {
  template <class T>
  void operator()(T* object) const {
    Release(object);
  }
};

using KeyHandle = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY_free>>;
using CertificateHandle = std::unique_ptr<X509, OpenSslDeleter<X509_free>>;
using RevocationListHandle = std::unique_ptr<X509_CRL, OpenSslDeleter<X509_CRL_free>>;
using BioHandle = std::unique_ptr<BIO, OpenSslDeleter<BIO_free_all>>;
using BigNumberHandle = std::unique_ptr<BIGNUM, OpenSslDeleter<BN_free>>;
using IntegerHandle = std::unique_ptr<ASN1_INTEGER, OpenSslDeleter<ASN1_INTEGER_free>>;
using TimeHandle = std::unique_ptr<ASN1_TIME, OpenSslDeleter<ASN1_TIME_free>>;
using ExtensionHandle = std::unique_ptr<X509_EXTENSION, OpenSslDeleter<X509_EXTENSION_free>>;
using GeneralNamesHandle = std::unique_ptr<GENERAL_NAMES, OpenSslDeleter<GENERAL_NAMES_free>>;

}  // namespace pearchute::keys
