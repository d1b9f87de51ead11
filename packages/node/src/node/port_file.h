#ifndef CARDAMOMYARD_NODE_PORT_FILE_H_
#define CARDAMOMYARD_NODE_PORT_FILE_H_

#include <string>
#include <vector>

#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief A bound address and what it serves.
struct bound_address {
  std::string name;
  host_address address;
};

/// \brief Writes "name ip:port" lines, so that a reader never sees half a file.
/// \param path  the file; an empty path writes nothing.
result<void> WritePortFile(const std::string& path,
                           const std::vector<bound_address>& addresses);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_PORT_FILE_H_
