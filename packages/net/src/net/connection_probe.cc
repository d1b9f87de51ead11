#include "src/net/connection_probe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace cardamomyard {
namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<bool> RefusesConnections(host_address server,
                                         std::chrono::milliseconds timeout) {
  boost::system::error_code bad_ip;
  const tcp::endpoint endpoint(asio::ip::make_address(server.ip(), bad_ip),
                               server.port());
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  const auto [code] = co_await stream.async_connect(
      endpoint, asio::as_tuple(asio::use_awaitable));
  co_return code == asio::error::connection_refused;
}

}  // namespace cardamomyard
