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
/// The table comes from the object API or from another process with a higher
/// epoch; an epoch lower than the highest seen is ignored. All functions but
/// epoch() run on the control thread.
class share_table_follower {
 public:
  explicit share_table_follower(process_context& context);

  /// Answers processes that ask for the table.
  void AddHandlers(internal_server& server);
  /// Called on the control thread after the table changed.
  void OnChange(std::function<void(const share_table&, table_origin)> callback);

  /// Reads the table from the object API; an absent one is no error.
  /// \returns when the read was sent.
  boost::asio::awaitable<result<time_point>> ReadStore();
  /// Catches up with a process that told epoch \p told.
  boost::asio::awaitable<result<void>> CatchUp(host_address peer,
                                               std::uint64_t told);
  /// Writes \p next, if the object is still as it was read last.
  boost::asio::awaitable<result<void>> Write(share_table next);

  const share_table& table() const { return table_; }
  /// \returns the epoch of the table, 0 before the first. Any thread.
  std::uint64_t epoch() const { return epoch_; }

 private:
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
