#ifndef CARDAMOMYARD_NODE_CONFIG_FOLLOWER_H_
#define CARDAMOMYARD_NODE_CONFIG_FOLLOWER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/config.h"
#include "cardamomyard/keys.h"
#include "src/node/internal_server.h"
#include "src/node/process_context.h"
#include "src/node/published.h"

namespace cardamomyard {

/// \brief The configuration in force, prepared for traffic.
struct config_view {
  explicit config_view(std::shared_ptr<const config_snapshot> source)
      : snapshot(std::move(source)), keys(snapshot->content) {}

  std::shared_ptr<const config_snapshot> snapshot;
  key_table keys;

  const configuration& content() const { return snapshot->content; }
  std::uint64_t generation() const { return snapshot->head.generation; }
};

/// \brief Keeps the configuration of one process up to date (rule 13).
///
/// Reads come from the object API or from a peer that has a higher generation;
/// whatever the source, a generation lower than the highest seen is ignored.
/// All functions but view() run on the control thread.
class config_follower {
 public:
  explicit config_follower(process_context& context);

  /// Answers peers that ask for the head or a blob.
  void AddHandlers(internal_server& server);

  /// Called on the control thread after the configuration in force changed.
  void OnChange(std::function<void(const config_view&)> callback);

  /// Reads the head from the object API and what it names.
  /// \returns when the read was sent, so that it can count as evidence.
  boost::asio::awaitable<result<time_point>> ReadStore();
  /// Waits for a change of the head for at most \p wait, and applies it.
  boost::asio::awaitable<result<time_point>> WatchStore(
      std::chrono::milliseconds wait);
  /// Catches up with a peer that told generation \p told.
  boost::asio::awaitable<result<void>> CatchUp(host_address peer,
                                               std::uint64_t told);

  /// \returns the configuration in force; null before the first. Any thread.
  std::shared_ptr<const config_view> view() const { return view_.Get(); }
  std::uint64_t in_force() const;

 private:
  using blob_source =
      std::function<boost::asio::awaitable<result<std::string>>(std::string)>;

  /// Applies a head as read at \p sent; an absent one is no error.
  boost::asio::awaitable<result<time_point>> ApplyHead(
      result<std::optional<stored_object>> head,
      time_point sent);
  boost::asio::awaitable<result<void>> Apply(std::string head_text,
                                             blob_source fetch);
  boost::asio::awaitable<result<std::string>> ReadBlobFromStore(
      std::string name);
  boost::asio::awaitable<http_response> ServeHead(const http_request& request);
  boost::asio::awaitable<http_response> ServeBlob(const http_request& request);

  process_context* context_;
  generation_tracker tracker_;
  published<config_view> view_;
  std::vector<std::function<void(const config_view&)>> callbacks_;
  std::uint64_t head_version_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CONFIG_FOLLOWER_H_
