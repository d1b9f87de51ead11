#ifndef CARDAMOMYARD_NET_SLEEP_H_
#define CARDAMOMYARD_NET_SLEEP_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace cardamomyard {

/// \brief Suspends the coroutine for \p delay without blocking its thread.
boost::asio::awaitable<void> SleepFor(std::chrono::nanoseconds delay);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_SLEEP_H_
