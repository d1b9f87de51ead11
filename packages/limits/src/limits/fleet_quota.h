#ifndef CARDAMOMYARD_LIMITS_FLEET_QUOTA_H_
#define CARDAMOMYARD_LIMITS_FLEET_QUOTA_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "src/limits/token_bucket.h"

namespace cardamomyard {

/// \brief Fleet-wide quotas of client accounts, which each host enforces from
/// its own admissions and the totals that its peers send.
///
/// Each host keeps a token bucket with the whole quota and deducts its peers'
/// admissions when it learns of them, so the hosts exceed the quota only by
/// what they admit within one message delay. A host that does not hear some of
/// its peers uses only the fraction of the quota that belongs to the hosts it
/// hears, so the sides of a partition together stay within the quota.
class fleet_quota {
 public:
  /// \param start_full  whether buckets start with the whole burst. True only
  /// at the first start of the fleet, since a restarted host does not know what
  /// was admitted just before.
  explicit fleet_quota(bool start_full);

  void Configure(const std::map<std::string, account_limits>& quotas,
                 time_point now);
  /// \param reachable  number of hosts that admit requests and are heard from,
  /// including this one.
  /// \param known  number of hosts that may be admitting requests, including
  /// this one.
  void SetHostCounts(int reachable, int known, time_point now);
  /// Applies the number of requests that a peer has admitted since it started.
  /// \param complete  whether accounts that are not named have none. A peer
  /// that is heard for the first time counts from its first complete list on.
  void ApplyPeerTotals(const std::string& peer,
                       std::int64_t incarnation,
                       const std::map<std::string, std::int64_t>& admitted,
                       time_point now,
                       bool complete = true);
  void RemovePeer(const std::string& peer);

  /// \returns nothing if the request is admitted, otherwise the time until a
  /// retry.
  std::optional<std::chrono::milliseconds> Admit(const std::string& account,
                                                 time_point now);
  /// Returns the token of an admitted request that was not executed.
  void Refund(const std::string& account, time_point now);

  /// \returns the number of requests that this host has admitted, by account.
  const std::map<std::string, std::int64_t>& admitted() const {
    return admitted_;
  }

 private:
  struct bucket {
    account_limits quota;
    double tokens = 0;
    time_point updated;
  };
  void Refill(bucket& account_bucket, time_point now) const;
  double reachable_fraction() const {
    return static_cast<double>(reachable_) / known_;
  }

  bool start_full_;
  int reachable_ = 1;
  int known_ = 1;
  std::map<std::string, bucket> buckets_;
  std::map<std::string, std::int64_t> admitted_;
  struct peer_totals {
    std::int64_t incarnation = 0;
    std::map<std::string, std::int64_t> admitted;
  };
  std::map<std::string, peer_totals> peers_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_FLEET_QUOTA_H_
