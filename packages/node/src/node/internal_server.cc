#include "src/node/internal_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "src/net/message_size.h"
#include "src/node/control_traffic.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kMaxBodyBytes = 8U << 20U;

http_response MetricsResponse(const metrics_registry& metrics) {
  http_response answer;
  answer.headers.Set("Content-Type", "text/plain; version=0.0.4");
  answer.body = metrics.Expose();
  return answer;
}

}  // namespace

internal_server::internal_server(process_context& context)
    : context_(&context) {}

void internal_server::AddControl(std::string path_prefix,
                                 control_handler handler) {
  control_.emplace(std::move(path_prefix), std::move(handler));
}

void internal_server::SetFallback(exchange_handler handler) {
  fallback_ = std::move(handler);
}

result<void> internal_server::Start() {
  http_server_options options;
  options.listen = context_->settings().internal_listen;
  options.tls = context_->settings().internal_tls;
  options.resources = context_->resources();
  auto server = http_server::Create(
      options, context_->traffic(),
      [this](http_exchange& exchange) { return Serve(exchange); });
  if (!server) {
    return Fail(server.error());
  }
  server_ = std::move(*server);
  context_->SetBoundAddress(server_->address());
  server_->Start();
  return {};
}

asio::awaitable<http_response> internal_server::RunControl(
    control_handler handler,
    http_request request) {
  // The handler runs on the control thread, which owns the control state.
  co_return co_await asio::co_spawn(
      context_->control(),
      [](control_handler run,
         http_request message) -> asio::awaitable<http_response> {
        co_return co_await run(message);
      }(std::move(handler), std::move(request)),
      asio::use_awaitable);
}

asio::awaitable<void> internal_server::Serve(http_exchange& exchange) {
  http_request request = exchange.request();
  if (request.target == "/healthz") {
    http_response healthy = JsonResponse(200, "{}");
    co_await exchange.Send(std::move(healthy));
    co_return;
  }
  if (request.target == "/metrics") {
    context_->UpdateResourceMetrics();
    http_response answer = MetricsResponse(context_->metrics());
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  result<std::string> body = co_await exchange.ReadBody(kMaxBodyBytes);
  result<void> verified =
      Fail(error_kind::forbidden, "the request body has not been read");
  if (body) {
    request.body = std::move(*body);
    verified = context_->signer().Verify(request);
  } else {
    verified = Fail(body.error());
  }
  if (!verified) {
    context_->metrics().Counter("cardamomyard_internal_refused_total").Add();
    http_response refusal = ErrorResponse(verified.error(), "");
    co_await exchange.Send(std::move(refusal));
    co_return;
  }
  for (const auto& [prefix, handler] : control_) {
    if (request.target.starts_with(prefix)) {
      control_traffic traffic(context_->metrics());
      traffic.Received(MessageBytes(request));
      http_response answer = co_await RunControl(handler, std::move(request));
      traffic.Sent(MessageBytes(answer));
      co_await exchange.Send(std::move(answer));
      co_return;
    }
  }
  if (fallback_) {
    co_await fallback_(exchange, std::move(request));
    co_return;
  }
  http_response missing = ErrorResponse(
      error::Make(error_kind::not_found, "unknown internal path"), "");
  co_await exchange.Send(std::move(missing));
}

}  // namespace cardamomyard
