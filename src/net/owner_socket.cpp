#include "net/owner_socket.h"

#include <sys/stat.h>
#include <unistd.h>

#include <utility>

#include "errors/error.h"

namespace pearchute::net {

namespace {

void remove_stale_socket(const std::string& path, const Poco::Net::SocketAddress& address) {
  struct stat status {};
  if (::lstat(path.c_str(), &status) != 0) return;
  if (!S_ISSOCK(status.st_mode))
    throw ListeningError("the path exists and is not a socket", path,
                         "check the file; move it away or configure another path");
  if (is_listened_at(address)) throw ListeningError("a process already listens at the socket", path);
  ::unlink(path.c_str());
}

// Restricts the umask while the socket is created, so that it never exists with permissions for others.
class OwnerOnlyUmask {
 public:
  OwnerOnlyUmask() : previous_(::umask(0177)) {}
  ~OwnerOnlyUmask() { ::umask(previous_); }
  OwnerOnlyUmask(const OwnerOnlyUmask&) = delete;
  OwnerOnlyUmask& operator=(const OwnerOnlyUmask&) = delete;

 private:
  const mode_t previous_;
};

}  // namespace

std::unique_ptr<ListeningSocket> open_owner_socket(
    Loop& loop, const std::string& path, std::function<void(const Poco::Net::StreamSocket&)> on_accepted) {
  const Poco::Net::SocketAddress address(Poco::Net::SocketAddress::UNIX_LOCAL, path);
  remove_stale_socket(path, address);
  const OwnerOnlyUmask restricted_umask;
  return std::make_unique<ListeningSocket>(loop, address, std::move(on_accepted));
}

}  // namespace pearchute::net
