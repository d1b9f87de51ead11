#ifndef CARDAMOMYARD_CONFIG_SHARDS_H_
#define CARDAMOMYARD_CONFIG_SHARDS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/config/configuration.h"

namespace cardamomyard {

inline constexpr std::size_t kShardCount = 64;
/// The object API takes values up to 1 MB.
inline constexpr std::size_t kMaxShardBytes = 900'000;

/// \brief One shard as stored under `config/blob/<name>`.
struct config_blob {
  std::string name;  ///< SHA-256 of the data.
  std::string data;
  friend bool operator==(const config_blob&, const config_blob&) = default;
};

using blob_ptr = std::shared_ptr<const config_blob>;
using blob_set = std::array<blob_ptr, kShardCount>;

/// \returns the shard that holds the entity \p id.
std::size_t ShardOf(std::string_view id);

/// \returns the 64 blobs, or too_large when one is over kMaxShardBytes.
result<blob_set> Shard(const configuration& whole);

/// \brief Like Shard(after), but encodes only the shards that changed.
/// \param previous  the blobs of \p before.
result<blob_set> UpdateShards(const blob_set& previous,
                              const configuration& before,
                              const configuration& after);

/// \brief Names one generation of the configuration.
struct config_head {
  std::uint64_t generation = 0;
  std::string nonce;  ///< Recognises the own write after a lost answer.
  std::string author;
  wall_time time;  ///< In whole milliseconds.
  std::string summary;
  std::array<std::string, kShardCount> blobs;

  std::string ToJson() const;
  static result<config_head> Parse(std::string_view text);

  friend bool operator==(const config_head&, const config_head&) = default;
};

/// \brief Makes the head that follows \p current.
/// \param current  nothing before the first generation.
/// \param nonce  a random text of this write, \sa RandomHex
config_head NextHead(const std::optional<config_head>& current,
                     const blob_set& blobs,
                     std::string author,
                     std::string summary,
                     wall_time now,
                     std::string nonce);

/// \returns the conflict for a writer that lost the race to \p winner.
error LostRace(const config_head& winner);

/// Blob data by name.
using blob_map = std::unordered_map<std::string, std::string>;

/// \brief Puts a configuration together and checks the hash of every blob.
/// \returns not_ready when a blob is missing, invalid_request when one is
/// damaged.
result<configuration> Assemble(const config_head& head, const blob_map& blobs);

namespace internal {
/// \returns the checked records of a blob, which must have the hash \p name.
result<std::vector<record_ptr>> OpenBlob(const std::string& name,
                                         std::string_view data);
/// \returns an error when a record belongs to another shard than \p shard.
result<void> CheckShard(std::size_t shard,
                        const std::vector<record_ptr>& records);
}  // namespace internal

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_SHARDS_H_
