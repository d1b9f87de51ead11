#ifndef CARDAMOMYARD_TOOLS_LOADGEN_CALL_RUNNER_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_CALL_RUNNER_H_

#include <boost/asio/awaitable.hpp>

#include "cardamomyard/net.h"
#include "recorder.h"

namespace cardamomyard::loadgen {

/// Sends the request and reads the whole answer.
boost::asio::awaitable<call_record> RunCall(http_client& client,
                                            host_address target,
                                            http_request request,
                                            call_options options);

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_CALL_RUNNER_H_
