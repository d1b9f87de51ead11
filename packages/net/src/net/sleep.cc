#include "src/net/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamomyard {

boost::asio::awaitable<void> SleepFor(std::chrono::nanoseconds delay) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace cardamomyard
