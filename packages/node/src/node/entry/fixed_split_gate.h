#ifndef CARDAMOMYARD_NODE_ENTRY_FIXED_SPLIT_GATE_H_
#define CARDAMOMYARD_NODE_ENTRY_FIXED_SPLIT_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <mutex>
#include <string>

#include "cardamomyard/limits.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief Baseline against which rate_gate is measured: each host has a fixed
/// part of every rate and burst and lends nothing. Thread-safe.
class fixed_split_gate {
 public:
  fixed_split_gate(std::size_t hosts, const clock& time);

  void SetAccounts(const limits_snapshot& accounts);
  /// \sa rate_gate::Take
  boost::asio::awaitable<result<void>> Take(std::string account);
  borrow_reply Lend(const borrow& /*message*/) { return {}; }

 private:
  const clock* clock_;
  std::mutex mutex_;
  naive_limiter limiter_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_FIXED_SPLIT_GATE_H_
