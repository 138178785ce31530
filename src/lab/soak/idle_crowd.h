// Connections that are held to a manager for little or nothing: some say nothing, some half a call, some make
// one call and rest. They end with this object. For troubles of a soak run; it judges nothing.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pearchute::lab {

class IdleCrowd {
 public:
  // `address` with a port; what can't be opened at once is left out.
  IdleCrowd(const std::string& address, std::size_t connections);
  ~IdleCrowd();
  IdleCrowd(const IdleCrowd&) = delete;
  IdleCrowd& operator=(const IdleCrowd&) = delete;

 private:
  std::vector<int> descriptors_;
};

}  // namespace pearchute::lab
