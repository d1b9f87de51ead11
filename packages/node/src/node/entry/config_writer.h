#ifndef CARDAMOMYARD_NODE_ENTRY_CONFIG_WRITER_H_
#define CARDAMOMYARD_NODE_ENTRY_CONFIG_WRITER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/config.h"
#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief A change of the configuration.
struct config_change {
  std::string author;
  std::string summary;
  /// Derives the new configuration; may be called again on a later generation.
  std::function<result<configuration>(const configuration&)> apply;
  /// When set, the change applies to this generation only, and a concurrent
  /// write causes a conflict instead of a retry.
  std::optional<std::uint64_t> expected_generation;
};

/// \brief The result of a change.
struct config_write_result {
  std::uint64_t generation = 0;
  /// One line per changed entity; empty when the change had no effect.
  std::vector<std::string> changes;
};

/// \brief Writes new generations of the configuration into the object API.
/// Thread-safe.
class config_writer {
 public:
  static constexpr int kMaxAttempts = 5;

  using snapshot_source =
      std::function<std::shared_ptr<const config_snapshot>()>;
  using written_callback = std::function<boost::asio::awaitable<void>()>;

  /// \param known  the snapshot in force here; the blobs are
  /// not read when it is the current generation. May return null.
  /// \param written  awaited after each new generation.
  config_writer(store_client& store,
                const clock& time,
                snapshot_source known,
                written_callback written);

  /// \brief Writes a change.
  /// \returns the generation that holds it; `conflict` naming the author, time
  /// and summary of the winner when the expected generation is not the current
  /// one; `store_unavailable` when the object API does not answer.
  boost::asio::awaitable<result<config_write_result>> Write(
      config_change change);

  /// \returns the current head, or nothing before the first generation.
  boost::asio::awaitable<result<std::optional<config_head>>> ReadHead();

 private:
  struct current_state {
    std::optional<config_head> head;
    std::uint64_t version = 0;
    configuration content;
  };

  boost::asio::awaitable<result<current_state>> Read();
  boost::asio::awaitable<result<configuration>> ReadContent(config_head head);
  boost::asio::awaitable<result<void>> CreateBlobs(
      const std::optional<config_head>& before,
      blob_set blobs);
  /// \returns nothing when another writer replaced the head first.
  boost::asio::awaitable<result<std::optional<config_write_result>>> TryWrite(
      const config_change& change,
      const current_state& current,
      configuration next);

  store_client* store_;
  const clock* clock_;
  snapshot_source known_snapshot_;
  written_callback written_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_CONFIG_WRITER_H_
