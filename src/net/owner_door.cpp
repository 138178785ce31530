#include "net/owner_door.h"

#include <sys/stat.h>
#include <unistd.h>

#include <utility>

#include "errors/error.h"

namespace pearchute::net {

namespace {

void remove_left_over(const std::string& path, const Poco::Net::SocketAddress& address) {
  struct stat what {};
  if (::lstat(path.c_str(), &what) != 0) return;
  if (!S_ISSOCK(what.st_mode))
    throw ListeningError("is there and no socket", path,
                         "look at what it is; move it away or name another place");
  if (is_listened_at(address)) throw ListeningError("the socket is in use", path);
  ::unlink(path.c_str());
}

// The socket is never there with other rights than its owner's.
class OwnerOnly {
 public:
  OwnerOnly() : before_(::umask(0177)) {}
  ~OwnerOnly() { ::umask(before_); }
  OwnerOnly(const OwnerOnly&) = delete;
  OwnerOnly& operator=(const OwnerOnly&) = delete;

 private:
  const mode_t before_;
};

}  // namespace

std::unique_ptr<ListeningSocket> open_owner_socket(Loop& loop, const std::string& path,
                                                   std::function<void(const Poco::Net::StreamSocket&)> came) {
  const Poco::Net::SocketAddress address(Poco::Net::SocketAddress::UNIX_LOCAL, path);
  remove_left_over(path, address);
  const OwnerOnly rights;
  return std::make_unique<ListeningSocket>(loop, address, std::move(came));
}

}  // namespace pearchute::net
