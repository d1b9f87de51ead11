#include "src/limits/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace cardamomyard {
namespace {

// Part of the burst that a restarted host starts with. The requests that it
// did not admit while it was away leave room for more than this.
constexpr double kRestartPart = 0.2;
// A debt beyond this comes from a peer's admissions during a partition; it is
// not repaid, since the window in which it counted is over.
constexpr double kMostDebtSeconds = 1;

}  // namespace

fleet_quota::fleet_quota(bool start_full) : start_full_(start_full) {}

void fleet_quota::Configure(const std::map<std::string, account_limits>& quotas,
                            time_point now) {
  std::erase_if(buckets_, [&quotas](const auto& item) {
    return !quotas.contains(item.first);
  });
  for (const auto& [account, quota] : quotas) {
    const auto [found, added] = buckets_.try_emplace(account);
    bucket& held = found->second;
    if (added) {
      held = {quota, start_full_ ? quota.burst : kRestartPart * quota.burst,
              now};
      continue;
    }
    Refill(held, now);
    held.quota = quota;
    held.tokens = std::min(held.tokens, quota.burst * part());
  }
}

void fleet_quota::SetHostCounts(int heard, int known, time_point now) {
  if (heard == heard_ && known == known_) {
    return;
  }
  for (auto& [account, held] : buckets_) {
    Refill(held, now);
  }
  heard_ = std::max(1, heard);
  known_ = std::max(heard_, known);
  for (auto& [account, held] : buckets_) {
    held.tokens = std::min(held.tokens, held.quota.burst * part());
  }
}

void fleet_quota::ApplyPeerTotals(
    const std::string& peer,
    std::int64_t incarnation,
    const std::map<std::string, std::int64_t>& admitted,
    time_point now) {
  const auto [found, first_contact] = peers_.try_emplace(peer);
  peer_totals& totals = found->second;
  if (first_contact) {
    // What the peer admitted before this host knew it lies in the past.
    totals = {incarnation, admitted};
    return;
  }
  if (incarnation != totals.incarnation) {
    totals = {incarnation, {}};
  }
  for (const auto& [account, total] : admitted) {
    std::int64_t& seen = totals.admitted[account];
    const auto fresh = static_cast<double>(total - seen);
    seen = total;
    const auto at = buckets_.find(account);
    if (at == buckets_.end()) {
      continue;
    }
    bucket& held = at->second;
    Refill(held, now);
    held.tokens = std::clamp(held.tokens - fresh,
                             -kMostDebtSeconds * held.quota.rate_per_second,
                             std::max(held.tokens, held.quota.burst * part()));
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
  bucket& held = found->second;
  Refill(held, now);
  if (held.tokens >= 1) {
    held.tokens -= 1;
    ++admitted_[account];
    return std::nullopt;
  }
  const double rate = std::max(0.1, held.quota.rate_per_second * part());
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil((1 - held.tokens) / rate * 1000)));
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

void fleet_quota::Refill(bucket& held, time_point now) const {
  if (now <= held.updated) {
    return;
  }
  const std::chrono::duration<double> passed = now - held.updated;
  held.updated = now;
  const double most = held.quota.burst * part();
  if (held.tokens < most) {
    held.tokens = std::min(most, held.tokens + held.quota.rate_per_second *
                                                   part() * passed.count());
  }
}

}  // namespace cardamomyard
