#include "common/port_file.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace cardamomyard::standins {

result<void> WritePortFile(const std::string& path,
                           const host_address& address) {
  if (path.empty()) {
    return {};
  }
  const std::string partial = path + "." + std::to_string(::getpid());
  {
    std::ofstream file(partial);
    file << address.ToString() << '\n';
    file.close();
    if (!file) {
      return Fail(error_kind::internal, "cannot write " + partial);
    }
  }
  if (std::rename(partial.c_str(), path.c_str()) != 0) {
    return Fail(error_kind::internal,
                "cannot rename " + partial + " to " + path);
  }
  return {};
}

}  // namespace cardamomyard::standins
