#ifndef CARDAMOMYARD_GATEWAY_QUOTA_GATE_H_
#define CARDAMOMYARD_GATEWAY_QUOTA_GATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/limits.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief Admits requests against the quotas of client accounts, which come
/// from the configuration and are shared with the peers through digests.
class quota_gate {
 public:
  quota_gate(const clock& time, const peer_table& peers, bool first_start);

  void Configure(const service_map& configuration);
  void OnDigest(const load_digest& digest);
  /// Adds the number of requests admitted per account to this host's digest: of
  /// the accounts that have changed lately, and of all now and then.
  void FillDigest(load_digest& digest);

  /// \returns nothing when the request is admitted, else the time after which
  /// to retry.
  std::optional<std::chrono::milliseconds> Admit(const std::string& account);
  void Refund(const std::string& account);

 private:
  void UpdateHostCounts(time_point now);

  const clock* clock_;
  const peer_table* peers_;
  fleet_quota quota_;
  std::map<std::string, time_point> changed_;
  time_point complete_sent_;
  std::map<std::string, std::int64_t> incarnations_;  ///< Of the peers.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_QUOTA_GATE_H_
