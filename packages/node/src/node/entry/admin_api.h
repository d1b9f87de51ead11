#ifndef CARDAMOMYARD_NODE_ENTRY_ADMIN_API_H_
#define CARDAMOMYARD_NODE_ENTRY_ADMIN_API_H_

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "src/node/entry/admin_call.h"
#include "src/node/entry/caller_server.h"

namespace cardamomyard {

/// \brief The administration API below /admin/v1 (docs/design.md,
/// section 11.2).
class admin_api {
 public:
  /// Accommodates a configuration folder with 48,000 accounts and keys, which
  /// is about 20 MB as JSON.
  static constexpr std::size_t kMaxFolderBytes = 32U << 20U;
  static constexpr std::size_t kMaxBodyBytes = 64U << 10U;

  explicit admin_api(admin_services services);

  /// Serves one request. Its handler runs on the background thread.
  boost::asio::awaitable<void> Serve(http_exchange& exchange,
                                     caller_request request);

 private:
  boost::asio::awaitable<std::optional<error>> StreamItems(
      http_exchange& exchange,
      std::string job_id,
      std::string request_id);

  admin_services services_;
};

/// \brief Checks that the request carries exactly one Authorization header and
/// that its key is \p token.
result<void> CheckAdminToken(const caller_request& request,
                             const std::string& token);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ADMIN_API_H_
