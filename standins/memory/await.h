#ifndef CARDAMOMYARD_STANDINS_MEMORY_AWAIT_H_
#define CARDAMOMYARD_STANDINS_MEMORY_AWAIT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <utility>

namespace cardamomyard::standins {

/// \brief Runs \p work and all that it starts on this thread.
/// \returns its result; an exception is passed on.
template <class T>
T Await(boost::asio::awaitable<T> work) {
  boost::asio::io_context context;
  auto done =
      boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
  context.run();
  return done.get();
}

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_MEMORY_AWAIT_H_
