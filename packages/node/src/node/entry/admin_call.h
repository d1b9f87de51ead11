#ifndef CARDAMOMYARD_NODE_ENTRY_ADMIN_CALL_H_
#define CARDAMOMYARD_NODE_ENTRY_ADMIN_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "src/node/entry/admin_services.h"

namespace cardamomyard {

/// \brief One authenticated request of an operator.
struct admin_call {
  std::string method;
  std::vector<std::string> path;  ///< Segments after /admin/v1.
  std::map<std::string, std::string> query;
  std::string body;
  std::string author;
};

/// The JSON body of a 200 answer, or the error to answer.
using admin_answer = result<std::string>;

// The resources of the administration API, by the first segment of the path.
boost::asio::awaitable<admin_answer> ServeAdminConfig(admin_services& services,
                                                      admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminEntities(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminKeys(admin_services& services,
                                                    admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminBackends(
    admin_services& services,
    admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminLimits(admin_services& services,
                                                      admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminStatus(admin_services& services,
                                                      admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminBatches(admin_services& services,
                                                       admin_call call);
boost::asio::awaitable<admin_answer> ServeAdminReport(admin_services& services,
                                                      admin_call call);

/// \returns the refusal of a method or path that the resource does not have.
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
