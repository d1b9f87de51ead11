#ifndef CARDAMOMYARD_CONFIG_GENERATION_TRACKER_H_
#define CARDAMOMYARD_CONFIG_GENERATION_TRACKER_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/config/shards.h"

namespace cardamomyard {

/// \brief A configuration in force, with its head.
struct config_snapshot {
  config_head head;
  configuration content;
};

/// \brief Follows the generations of the configuration and never reverts
/// (rule 13). Used by one thread.
///
/// A head is offered as soon as it is heard of; the blobs that are missing are
/// fetched and added; the snapshot changes when the last one has arrived.
/// Records of unchanged blobs are kept, so a change decodes one or two blobs.
class generation_tracker {
 public:
  /// \brief Takes a head when its generation is higher than any seen.
  /// \returns whether it was taken.
  bool OfferHead(config_head head);

  /// \returns the names of the blobs that the head taken last still needs.
  std::vector<std::string> MissingBlobs() const;

  /// \brief Adds a blob that MissingBlobs named; others are ignored.
  /// \returns invalid_request when the data has another hash or is malformed.
  result<void> AddBlob(const std::string& name, std::string data);

  /// \brief Puts the head taken last in force when its blobs are complete.
  /// \returns true when the snapshot changed, false when blobs are missing or
  /// nothing is new, an error when the configuration is invalid; then the
  /// snapshot stays in force and only a higher generation replaces it.
  result<bool> Advance();

  /// \returns the snapshot in force; null before the first.
  const std::shared_ptr<const config_snapshot>& snapshot() const {
    return snapshot_;
  }
  /// \returns the highest generation seen, which may not be in force yet.
  std::uint64_t seen() const { return seen_; }
  /// \returns the generation in force, 0 before the first.
  std::uint64_t in_force() const {
    return snapshot_ ? snapshot_->head.generation : 0;
  }
  /// \returns the blob's data, to answer peers, or nothing.
  std::optional<std::string> FindBlob(const std::string& name) const;

 private:
  struct opened_blob {
    std::string data;
    std::vector<record_ptr> records;
  };

  /// Forgets the blobs that neither the snapshot nor the pending head names.
  void DropUnused();

  std::uint64_t seen_ = 0;
  std::optional<config_head> pending_;
  std::unordered_map<std::string, opened_blob> blobs_;
  std::shared_ptr<const config_snapshot> snapshot_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_GENERATION_TRACKER_H_
