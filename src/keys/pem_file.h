// The PEM files of keys, certificates and revocation lists, as text.
#pragma once

#include <sys/types.h>

#include <string>

namespace pearchute::keys {

// Replaces the file as a whole or not at all. Its permissions are `mode` from its first moment on. Throws
// KeysError where it can't be written.
void write_pem_file(const std::string& file, const std::string& pem, mode_t mode);

// Throws ResourceShortage where the file can't be read now, KeysError where it can't be read.
std::string read_pem_file(const std::string& file);

}  // namespace pearchute::keys
