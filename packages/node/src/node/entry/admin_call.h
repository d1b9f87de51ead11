#ifndef CARDAMOMYARD_NODE_ENTRY_ADMIN_CALL_H_
#define CARDAMOMYARD_NODE_ENTRY_ADMIN_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "src/node/entry/admin_services.h"

namespace cardamomyard {

/// \brief One authenticated request to the administration API.
struct admin_call {
  std::string method;
  std::vector<std::string> path;  ///< Segments after /admin/v1.
  std::map<std::string, std::string> query;
  std::string body;
  std::string author;
};

/// The JSON body of a response with status 200, or the error to respond with.
using admin_response = result<std::string>;

// Handlers of the administration API, one for each first path segment or for
// several that share a handler.
boost::asio::awaitable<admin_response> ServeAdminConfig(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_response> ServeAdminEntities(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_response> ServeAdminKeys(admin_services& services,
                                                      admin_call call);
boost::asio::awaitable<admin_response> ServeAdminBackends(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_response> ServeAdminLimits(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_response> ServeAdminStatus(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_response> ServeAdminBatches(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_response> ServeAdminReport(
    admin_services& services,
    admin_call call);

/// \returns the `not_found` error for a method or path that the API does not
/// have.
inline tl::unexpected<error> NoSuchAdminCall(const admin_call& call) {
  std::string path = "/admin/v1";
  for (const std::string& segment : call.path) {
    path += "/" + segment;
  }
  return Fail(error_kind::not_found,
              "no administration call " + call.method + " " + path);
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ADMIN_CALL_H_
