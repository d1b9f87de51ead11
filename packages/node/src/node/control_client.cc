#include "src/node/control_client.h"

#include <utility>

#include "src/net/message_size.h"
#include "src/node/control_traffic.h"

namespace cardamomyard {

boost::asio::awaitable<result<std::string>> CallProcess(
    process_context& context,
    host_address server,
    std::string method,
    std::string target,
    std::string body,
    std::chrono::milliseconds timeout) {
  http_request request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  context.signer().Sign(request);
  control_traffic traffic(context.metrics());
  traffic.Sent(MessageBytes(request));
  call_options options;
  options.connect_timeout = timeout;
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  // Receiving a control message twice does no harm.
  options.reuse_connection = true;
  result<http_response> answer = co_await context.internal_http().Fetch(
      std::move(server), std::move(request), options);
  if (!answer) {
    co_return Fail(answer.error());
  }
  traffic.Received(MessageBytes(*answer));
  if (answer->status != 200) {
    co_return Fail(ParseErrorBody(answer->status, answer->body));
  }
  co_return std::move(answer->body);
}

}  // namespace cardamomyard
