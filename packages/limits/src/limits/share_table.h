#ifndef CARDAMOMYARD_LIMITS_SHARE_TABLE_H_
#define CARDAMOMYARD_LIMITS_SHARE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "src/limits/token_bucket.h"

namespace cardamomyard {

/// \brief The hosts that hold shares of the account limits; stored under the
/// key `limits/table`.
struct share_table {
  std::uint64_t epoch = 0;
  std::vector<std::string> hosts;

  friend bool operator==(const share_table&, const share_table&) = default;
};

/// \returns the next table with \p host added, or `conflict` if it is
/// already listed.
result<share_table> PlanJoin(const share_table& table, const std::string& host);

/// \brief Plans the removal of hosts that are lost or were dropped from the
/// fleet.
/// \param agreed  hosts of the table that have not heard from any removed
/// host and have stopped serving as outage evidence for it.
/// \returns the next table; `conflict` unless at least one host and fewer than
/// half are removed and a majority of the table's hosts agrees.
result<share_table> PlanRemoval(const share_table& table,
                                const std::set<std::string>& removed,
                                const std::set<std::string>& agreed);

/// \returns the number of hosts that share an account's limits, its homes: one
/// for each 20 requests/s, but few enough that each holds one token of burst.
std::size_t HomeCount(const account_limits& limits, std::size_t hosts);

/// \returns the homes of \p account by rendezvous hashing, highest rank first.
std::vector<std::string> Homes(const share_table& table,
                               const std::string& account,
                               const account_limits& limits);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_SHARE_TABLE_H_
