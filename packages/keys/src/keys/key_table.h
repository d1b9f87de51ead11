#ifndef CARDAMOMYARD_KEYS_KEY_TABLE_H_
#define CARDAMOMYARD_KEYS_KEY_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cardamomyard/base.h"
#include "cardamomyard/config.h"

namespace cardamomyard {

/// \brief The account that a key belongs to, and the id of the key.
struct key_owner {
  std::string account;
  std::string key_id;
  friend bool operator==(const key_owner&, const key_owner&) = default;
};

/// \brief The keys of one configuration; immutable and safe to share between
/// threads.
class key_table {
 public:
  explicit key_table(configuration source);

  /// \brief Finds the owner of a key. The stored hash is compared in constant
  /// time.
  /// \returns key_withdrawn for a withdrawn key, invalid_credentials for any
  /// other text that is not a known key.
  result<key_owner> FindOwner(std::string_view key_text) const;

  /// \returns whether the key is withdrawn, or no longer in the configuration,
  /// so that its running streams must end.
  bool IsWithdrawn(std::string_view key_id) const;

 private:
  configuration source_;  ///< Owns the keys that the index points to.
  // The index covers only the first 64 bits of the hash, so that the rest is
  // compared in constant time.
  std::unordered_multimap<std::uint64_t, const key_config*> by_hash_prefix_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_KEY_TABLE_H_
