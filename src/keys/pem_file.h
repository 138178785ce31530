// Reads and writes PEM files of keys, certificates and revocation lists.
#pragma once

#include <sys/types.h>

#include <string>

namespace pearchute::keys {

// Replaces the file atomically. The new file is created with the permissions `mode`, so that a private key is
// never readable by others. Throws KeysError if the file can't be written.
void write_pem_file(const std::string& file, const std::string& pem, mode_t mode);

// Throws ResourceShortage if the file temporarily can't be read, KeysError if it can't be read at all.
std::string read_pem_file(const std::string& file);

}  // namespace pearchute::keys
