#ifndef CARDAMOMYARD_KEYS_KEY_TABLE_H_
#define CARDAMOMYARD_KEYS_KEY_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cardamomyard/base.h"
#include "cardamomyard/config.h"

namespace cardamomyard {

/// \brief Who a key stands for.
struct key_owner {
  std::string account;
  std::string key_id;
  friend bool operator==(const key_owner&, const key_owner&) = default;
};

/// \brief The keys of one configuration; immutable and safe to share.
class key_table {
 public:
  explicit key_table(configuration source);

  /// \brief Finds the owner of a key; the stored hash is compared in constant
  /// time.
  /// \returns key_withdrawn for a withdrawn key, invalid_credentials for any
  /// other text that is not a known key.
  result<key_owner> FindOwner(std::string_view key_text) const;

  /// \returns whether a running stream of that key must end; also true for an
  /// id that the configuration no longer holds.
  bool IsWithdrawn(std::string_view key_id) const;

 private:
  configuration source_;  ///< Owns the keys that the index points to.
  // Indexed by a part of the hash, so that the rest is compared in constant
  // time.
  std::unordered_multimap<std::uint64_t, const key_config*> by_hash_part_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_KEY_TABLE_H_
