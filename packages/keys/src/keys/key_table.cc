#include "src/keys/key_table.h"

#include <charconv>
#include <utility>

#include "src/keys/client_key.h"

namespace cardamomyard {
namespace {

/// \returns the first 64 bits of a hash, given as hexadecimal digits.
std::uint64_t HashPrefix(std::string_view sha256) {
  std::uint64_t prefix = 0;
  const std::string_view digits = sha256.substr(0, 16);
  std::from_chars(digits.data(), digits.data() + digits.size(), prefix, 16);
  return prefix;
}

}  // namespace

key_table::key_table(configuration source) : source_(std::move(source)) {
  const auto keys = source_.All<key_config>();
  by_hash_prefix_.reserve(keys.size());
  for (const key_config* key : keys) {
    by_hash_prefix_.emplace(HashPrefix(key->sha256), key);
  }
}

result<key_owner> key_table::FindOwner(std::string_view key_text) const {
  if (HasKeyFormat(key_text)) {
    const std::string sha256 = Sha256Hex(key_text);
    const auto [first, last] = by_hash_prefix_.equal_range(HashPrefix(sha256));
    for (auto entry = first; entry != last; ++entry) {
      const key_config& key = *entry->second;
      if (!ConstantTimeEqual(key.sha256, sha256)) {
        continue;
      }
      if (key.withdrawn) {
        return Fail(error_kind::key_withdrawn,
                    "the key " + key.id + " is withdrawn");
      }
      return key_owner{key.account, key.id};
    }
  }
  return Fail(error_kind::invalid_credentials, "the key is not known");
}

bool key_table::IsWithdrawn(std::string_view key_id) const {
  const key_config* key = source_.FindKey(key_id);
  return key == nullptr || key->withdrawn;
}

}  // namespace cardamomyard
