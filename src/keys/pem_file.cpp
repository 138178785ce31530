#include "keys/pem_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

#include "errors/error.h"
#include "system/files.h"

namespace pearchute::keys {

void write_pem_file(const std::string& file, const std::string& pem, mode_t mode) {
  const std::string temporary = file + ".new";
  ::unlink(temporary.c_str());
  const int descriptor =
      uninterrupted([&] { return ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode); });
  const auto fail = [&] {
    const std::string reason = text_of_last_error();
    if (descriptor >= 0) ::close(descriptor);
    ::unlink(temporary.c_str());
    throw KeysError("can't be written: " + reason, file, "check the free space and the folder's permissions");
  };
  if (descriptor < 0 || !write_all(descriptor, pem) || ::fsync(descriptor) != 0) fail();
  if (std::rename(temporary.c_str(), file.c_str()) != 0) fail();
  ::close(descriptor);
}

std::string read_pem_file(const std::string& file) {
  try {
    return read_file(file);
  } catch (const ResourceShortage&) {
    throw;
  } catch (const SystemError& error) {
    throw KeysError(error.wrong(), file, error.remedy());
  }
}

}  // namespace pearchute::keys
