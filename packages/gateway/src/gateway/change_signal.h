#ifndef CARDAMOMYARD_GATEWAY_CHANGE_SIGNAL_H_
#define CARDAMOMYARD_GATEWAY_CHANGE_SIGNAL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Wakes all coroutines that wait for a change.
///
/// Each has a timer of its own: when several waited on a shared one, each new
/// wait ended the waits of the others, which then waited anew without pause.
/// Use it on the thread of its executor.
class change_signal {
 public:
  explicit change_signal(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}
  /// Ends all waits.
  ~change_signal() { Notify(); }
  change_signal(const change_signal&) = delete;
  change_signal& operator=(const change_signal&) = delete;

  /// Waits for the next Notify(), at most \p limit. The signal may be destroyed
  /// meanwhile.
  boost::asio::awaitable<void> Wait(duration limit);
  /// Ends all waits that have begun.
  void Notify();

 private:
  boost::asio::any_io_executor executor_;
  std::list<std::weak_ptr<boost::asio::steady_timer>> waits_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_CHANGE_SIGNAL_H_
