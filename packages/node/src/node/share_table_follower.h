#ifndef CARDAMOMYARD_NODE_SHARE_TABLE_FOLLOWER_H_
#define CARDAMOMYARD_NODE_SHARE_TABLE_FOLLOWER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "cardamomyard/limits.h"
#include "src/node/internal_server.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Keeps the share table of one process up to date.
///
/// The table is read from the object API or from another process that has a
/// higher epoch; an epoch lower than the highest seen is ignored. epoch() is
/// thread-safe; all other functions run on the control thread.
class share_table_follower {
 public:
  explicit share_table_follower(process_context& context);

  /// Registers the handler that serves the table to other processes.
  void AddHandlers(internal_server& server);
  /// Sets the callback that runs on the control thread after each change of the
  /// table.
  void OnChange(std::function<void(const share_table&, table_origin)> callback);

  /// Reads the table from the object API; an absent table is no error.
  /// \returns when the read was sent.
  boost::asio::awaitable<result<time_point>> ReadStore();
  /// Reads and adopts the table of \p peer if \p peer_epoch is higher than the
  /// epoch of the present table.
  boost::asio::awaitable<result<void>> CatchUp(host_address peer,
                                               std::uint64_t peer_epoch);
  /// Writes \p next if the stored object has not changed since the last read.
  boost::asio::awaitable<result<void>> Write(share_table next);

  const share_table& table() const { return table_; }
  /// \returns the epoch of the table; 0 until there is one.
  std::uint64_t epoch() const { return epoch_; }

 private:
  /// Replaces the table unless \p next has an epoch that is no higher.
  void Adopt(share_table next, table_origin origin);

  process_context* context_;
  std::function<void(const share_table&, table_origin)> callback_;
  share_table table_;
  std::atomic<std::uint64_t> epoch_{0};
  std::optional<stored_object> stored_;
  std::uint64_t writes_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SHARE_TABLE_FOLLOWER_H_
