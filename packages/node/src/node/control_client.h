#ifndef CARDAMOMYARD_NODE_CONTROL_CLIENT_H_
#define CARDAMOMYARD_NODE_CONTROL_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "cardamomyard/wire.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Sends a signed request to another process of the system and reads
/// the whole answer.
/// \returns the body of a 200 answer, or the error that the other process
/// reported.
boost::asio::awaitable<result<std::string>> CallProcess(
    process_context& context,
    host_address server,
    std::string method,
    std::string target,
    std::string body,
    std::chrono::milliseconds timeout);

/// \brief Sends a control message and decodes its answer.
template <class Reply, class Message>
boost::asio::awaitable<result<Reply>> CallControl(
    process_context& context,
    host_address server,
    std::string_view path,
    const Message& message,
    std::chrono::milliseconds timeout) {
  std::string body = Encode(message);
  result<std::string> answer =
      co_await CallProcess(context, std::move(server), "POST",
                           std::string(path), std::move(body), timeout);
  if (!answer) {
    co_return Fail(answer.error());
  }
  co_return Decode<Reply>(*answer);
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CONTROL_CLIENT_H_
