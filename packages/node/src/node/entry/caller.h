#ifndef CARDAMOMYARD_NODE_ENTRY_CALLER_H_
#define CARDAMOMYARD_NODE_ENTRY_CALLER_H_

#include <memory>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "src/node/config_follower.h"

namespace cardamomyard {

/// \brief A client request with its trace context, configuration view and
/// authenticated account.
struct caller_request {
  http_request head;  ///< As received; never forwarded unchanged.
  request_target target;
  std::string request_id;
  trace_context trace;
  std::string parent_span_id;
  std::shared_ptr<const config_view> view;
  std::string account;  ///< Empty on an open route without a key.
  std::string key_id;
};

/// \brief Authenticates a request by its key and sets its client account.
/// \param require_key  false on open routes, where a key is ignored.
result<void> Authenticate(caller_request& request, bool require_key);

/// \returns the request id sent by the client when it is well formed, or a new
/// one.
std::string ChooseRequestId(const header_list& headers);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_CALLER_H_
