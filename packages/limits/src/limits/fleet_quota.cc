#include "src/limits/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace cardamomyard {
namespace {

// Fraction of the burst that a restarted host starts with. The requests that it
// did not admit while it was down leave room for more than this.
constexpr double kRestartBurstFraction = 0.2;
// Larger debts come from a peer's admissions during a partition. They are not
// repaid, since the period in which they counted is over.
constexpr double kMaxDebtSeconds = 1;

}  // namespace

fleet_quota::fleet_quota(bool start_full) : start_full_(start_full) {}

void fleet_quota::Configure(const std::map<std::string, account_limits>& quotas,
                            time_point now) {
  std::erase_if(buckets_, [&quotas](const auto& item) {
    return !quotas.contains(item.first);
  });
  for (const auto& [account, quota] : quotas) {
    const auto [found, added] = buckets_.try_emplace(account);
    bucket& account_bucket = found->second;
    if (added) {
      account_bucket = {
          quota,
          start_full_ ? quota.burst : kRestartBurstFraction * quota.burst, now};
      continue;
    }
    Refill(account_bucket, now);
    account_bucket.quota = quota;
    account_bucket.tokens =
        std::min(account_bucket.tokens, quota.burst * reachable_fraction());
  }
}

void fleet_quota::SetHostCounts(int reachable, int known, time_point now) {
  if (reachable == reachable_ && known == known_) {
    return;
  }
  for (auto& [account, account_bucket] : buckets_) {
    Refill(account_bucket, now);
  }
  reachable_ = std::max(1, reachable);
  known_ = std::max(reachable_, known);
  for (auto& [account, account_bucket] : buckets_) {
    account_bucket.tokens =
        std::min(account_bucket.tokens,
                 account_bucket.quota.burst * reachable_fraction());
  }
}

void fleet_quota::ApplyPeerTotals(
    const std::string& peer,
    std::int64_t incarnation,
    const std::map<std::string, std::int64_t>& admitted,
    time_point now,
    bool complete) {
  if (!complete && !peers_.contains(peer)) {
    return;
  }
  const auto [found, first_contact] = peers_.try_emplace(peer);
  peer_totals& totals = found->second;
  if (first_contact) {
    // Requests that the peer admitted before this host knew it no longer count.
    totals = {incarnation, admitted};
    return;
  }
  if (incarnation != totals.incarnation) {
    totals = {incarnation, {}};
  }
  for (const auto& [account, total] : admitted) {
    std::int64_t& last_total = totals.admitted[account];
    const auto newly_admitted = static_cast<double>(total - last_total);
    last_total = total;
    const auto bucket_it = buckets_.find(account);
    if (bucket_it == buckets_.end()) {
      continue;
    }
    bucket& account_bucket = bucket_it->second;
    Refill(account_bucket, now);
    account_bucket.tokens =
        std::clamp(account_bucket.tokens - newly_admitted,
                   -kMaxDebtSeconds * account_bucket.quota.rate_per_second,
                   std::max(account_bucket.tokens,
                            account_bucket.quota.burst * reachable_fraction()));
  }
}

void fleet_quota::RemovePeer(const std::string& peer) {
  peers_.erase(peer);
}

std::optional<std::chrono::milliseconds> fleet_quota::Admit(
    const std::string& account,
    time_point now) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return std::nullopt;
  }
  bucket& account_bucket = found->second;
  Refill(account_bucket, now);
  if (account_bucket.tokens >= 1) {
    account_bucket.tokens -= 1;
    ++admitted_[account];
    return std::nullopt;
  }
  const double rate = std::max(
      0.1, account_bucket.quota.rate_per_second * reachable_fraction());
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      std::ceil((1 - account_bucket.tokens) / rate * 1000)));
}

void fleet_quota::Refund(const std::string& account, time_point now) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return;
  }
  Refill(found->second, now);
  found->second.tokens += 1;
  --admitted_[account];
}

void fleet_quota::Refill(bucket& account_bucket, time_point now) const {
  if (now <= account_bucket.updated) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - account_bucket.updated;
  account_bucket.updated = now;
  const double capacity = account_bucket.quota.burst * reachable_fraction();
  if (account_bucket.tokens < capacity) {
    account_bucket.tokens =
        std::min(capacity, account_bucket.tokens +
                               account_bucket.quota.rate_per_second *
                                   reachable_fraction() * elapsed.count());
  }
}

}  // namespace cardamomyard
