#include "common/service_host.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace cardamomyard::standins {
namespace asio = boost::asio;

service_host::service_host(std::unique_ptr<service> served)
    : served_(std::move(served)) {}

service_host::~service_host() {
  threads_.Stop();
  server_.reset();
}

result<std::unique_ptr<service_host>> service_host::Create(
    std::unique_ptr<service> served,
    host_address listen) {
  std::unique_ptr<service_host> host(new service_host(std::move(served)));
  if (result<void> listening = host->Listen(std::move(listen)); !listening) {
    return Fail(listening.error());
  }
  return host;
}

result<void> service_host::Listen(host_address listen) {
  http_server_options options;
  options.listen = std::move(listen);
  auto server = http_server::Create(
      options, threads_,
      [served = served_.get()](http_exchange& exchange)
          -> asio::awaitable<void> { return served->Handle(exchange); });
  if (!server) {
    return Fail(server.error());
  }
  server_ = std::move(*server);
  address_ = server_->address();
  server_->Start();
  return {};
}

void service_host::RefuseFor(std::chrono::milliseconds pause) {
  asio::co_spawn(context(), ListenAgain(pause), asio::detached);
}

asio::awaitable<void> service_host::ListenAgain(
    std::chrono::milliseconds pause) {
  if (server_ == nullptr) {
    co_return;
  }
  server_->StopListening();
  server_->StartDraining();
  const std::unique_ptr<http_server> closing = std::move(server_);
  // The accept loop of the old server refers to it until its cancelled accept
  // has been handled.
  co_await SleepFor(std::max(pause, std::chrono::milliseconds(20)));
  while (!Listen(address_)) {
    co_await SleepFor(std::chrono::milliseconds(20));
  }
}

}  // namespace cardamomyard::standins
