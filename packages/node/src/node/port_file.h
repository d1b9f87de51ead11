#ifndef CARDAMOMYARD_NODE_PORT_FILE_H_
#define CARDAMOMYARD_NODE_PORT_FILE_H_

#include <string>
#include <vector>

#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief A bound address and the name of the interface that it serves.
struct bound_address {
  std::string name;
  host_address address;
};

/// \brief Writes lines of the form "name ip:port". The file is replaced
/// atomically, so that a reader never sees a partial one.
/// \param path  the file; nothing is written when empty.
result<void> WritePortFile(const std::string& path,
                           const std::vector<bound_address>& addresses);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_PORT_FILE_H_
