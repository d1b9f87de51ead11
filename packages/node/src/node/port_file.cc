#include "src/node/port_file.h"

#include <cstdio>
#include <fstream>

namespace cardamomyard {

result<void> WritePortFile(const std::string& path,
                           const std::vector<bound_address>& addresses) {
  if (path.empty()) {
    return {};
  }
  const std::string temporary = path + ".new";
  std::ofstream file(temporary, std::ios::trunc);
  for (const bound_address& bound : addresses) {
    file << bound.name << ' ' << bound.address.ToString() << '\n';
  }
  file.close();
  if (!file || std::rename(temporary.c_str(), path.c_str()) != 0) {
    return Fail(error_kind::internal, "cannot write " + path);
  }
  return {};
}

}  // namespace cardamomyard
