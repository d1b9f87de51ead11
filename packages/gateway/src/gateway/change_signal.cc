#include "src/gateway/change_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;

asio::awaitable<void> change_signal::Wait(duration limit) {
  const auto timer = std::make_shared<asio::steady_timer>(executor_, limit);
  std::erase_if(waits_, [](const auto& wait) { return wait.expired(); });
  waits_.push_back(timer);
  // From here on the signal may be destroyed.
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

void change_signal::Notify() {
  for (const auto& wait : std::exchange(waits_, {})) {
    if (const auto timer = wait.lock()) {
      timer->cancel();
    }
  }
}

}  // namespace cardamomyard
