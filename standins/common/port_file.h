#ifndef CARDAMOMYARD_STANDINS_COMMON_PORT_FILE_H_
#define CARDAMOMYARD_STANDINS_COMMON_PORT_FILE_H_

#include <string>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

/// \brief Writes `ip:port` to \p path by rename, so that a reader sees the
/// whole address or no file. Does nothing when \p path is empty.
result<void> WritePortFile(const std::string& path,
                           const host_address& address);

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_COMMON_PORT_FILE_H_
