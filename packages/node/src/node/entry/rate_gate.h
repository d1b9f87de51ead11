#ifndef CARDAMOMYARD_NODE_ENTRY_RATE_GATE_H_
#define CARDAMOMYARD_NODE_ENTRY_RATE_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "cardamomyard/limits.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief Takes the token of each request, from this host's shares or on loan
/// from another host (rule 7). Thread-safe.
class rate_gate {
 public:
  /// Asks the host \p home for tokens and waits at most \p timeout.
  using borrow_function =
      std::function<boost::asio::awaitable<result<borrow_reply>>(
          std::string home,
          borrow message,
          std::chrono::milliseconds timeout)>;

  /// Longest time that a request waits for its token.
  static constexpr std::chrono::milliseconds kMaxTokenWait{150};

  rate_gate(account_limiter& limiter,
            const clock& time,
            std::string self,
            borrow_function send_borrow);

  /// \brief Takes one token of \p account.
  /// \returns `rate_limited`, `isolated` or `not_ready`, with Retry-After.
  boost::asio::awaitable<result<void>> Take(std::string account);
  /// Handles a borrow request of another host.
  borrow_reply Lend(const borrow& message);

 private:
  boost::asio::awaitable<admission> Borrow(std::string account,
                                           admission first,
                                           time_point deadline);

  account_limiter* limiter_;
  const clock* clock_;
  std::string self_;
  borrow_function borrow_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_RATE_GATE_H_
