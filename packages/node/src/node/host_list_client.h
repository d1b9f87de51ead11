#ifndef CARDAMOMYARD_NODE_HOST_LIST_CLIENT_H_
#define CARDAMOMYARD_NODE_HOST_LIST_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief A host as described by the host list of the platform.
struct listed_host {
  std::string id;
  std::string address;
  std::string zone;
  std::string role;
  std::string deployment;
  bool leaving = false;  ///< The platform is about to remove the host.
};

/// \brief Fetches the host list; fails when none is configured.
boost::asio::awaitable<result<std::vector<listed_host>>> ReadHostList(
    process_context& context);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_HOST_LIST_CLIENT_H_
