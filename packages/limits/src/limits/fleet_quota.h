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

/// \brief Quotas of client accounts over all hosts, kept by each host from its
/// own admissions and from the totals that its peers send.
///
/// Each host holds a bucket of the whole quota and takes its peers' admissions
/// out of it when it hears of them. What the hosts admit beyond the quota is
/// what they admit within one message's delay. A host that does not hear some
/// of its peers uses only the part of the quota that falls to those it hears,
/// so the parts of a partition stay within the quota together.
class fleet_quota {
 public:
  /// \param start_full  whether buckets start with the whole burst: only at the
  /// first start of the fleet. A restarted host does not know what was admitted
  /// a moment ago.
  explicit fleet_quota(bool start_full);

  void Configure(const std::map<std::string, account_limits>& quotas,
                 time_point now);
  /// \param heard  hosts that admit requests and are heard, with this one.
  /// \param known  hosts that may be admitting requests, with this one.
  void SetHostCounts(int heard, int known, time_point now);
  /// Takes over how many requests a peer has admitted since it started.
  void ApplyPeerTotals(const std::string& peer,
                       std::int64_t incarnation,
                       const std::map<std::string, std::int64_t>& admitted,
                       time_point now);
  void RemovePeer(const std::string& peer);

  /// \returns nothing when the request is admitted, or when to come back.
  std::optional<std::chrono::milliseconds> Admit(const std::string& account,
                                                 time_point now);
  /// Takes back an admission of a request that has not run.
  void Refund(const std::string& account, time_point now);

  /// \returns this host's totals by account.
  const std::map<std::string, std::int64_t>& admitted() const {
    return admitted_;
  }

 private:
  struct bucket {
    account_limits quota;
    double tokens = 0;
    time_point updated;
  };
  void Refill(bucket& held, time_point now) const;
  double part() const { return static_cast<double>(heard_) / known_; }

  bool start_full_;
  int heard_ = 1;
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
