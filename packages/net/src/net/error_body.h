#ifndef CARDAMOMYARD_NET_ERROR_BODY_H_
#define CARDAMOMYARD_NET_ERROR_BODY_H_

#include <string>
#include <string_view>

#include "cardamomyard/base.h"
#include "src/net/http_message.h"

namespace cardamomyard {

/// \returns the JSON body of \p cause:
/// {"error":{"kind","type","message","outcome","request_id"}}.
std::string ErrorBody(const error& cause, std::string_view request_id);

/// \returns the whole answer for \p cause, with status and Retry-After from the
/// answer table.
http_response ErrorResponse(const error& cause, std::string_view request_id);

/// \brief Reads the error that another process of the system answered.
///
/// A body that is not one of ours becomes `backend_failed` with outcome
/// `may_have_run`, since nothing is known about the request.
error ParseErrorBody(int status, std::string_view body);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_ERROR_BODY_H_
