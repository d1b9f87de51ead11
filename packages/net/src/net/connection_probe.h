#ifndef CARDAMOMYARD_NET_CONNECTION_PROBE_H_
#define CARDAMOMYARD_NET_CONNECTION_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>

#include "src/net/host_address.h"

namespace cardamomyard {

/// \brief Opens a connection to \p server and closes it again.
/// \returns whether the connection was refused, as it is when no process
/// listens at the address. Silence and other errors tell nothing about the
/// process and return false.
boost::asio::awaitable<bool> RefusesConnections(
    host_address server,
    std::chrono::milliseconds timeout);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_CONNECTION_PROBE_H_
