#include "src/gateway/quota_gate.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// A change is in every digest for this long, and in this many digests, so that
// lost datagrams do no harm. Naming all accounts each time made up most of the
// bytes between hosts.
constexpr std::chrono::milliseconds kRepeatChanges{500};
constexpr int kRepeatedDigests = 3;
constexpr std::chrono::milliseconds kCompletePeriod{1000};

}  // namespace

quota_gate::quota_gate(const clock& time,
                       const peer_table& peers,
                       bool first_start)
    : clock_(&time), peers_(&peers), quota_(first_start) {}

void quota_gate::Configure(const service_map& configuration) {
  std::map<std::string, account_limits> quotas;
  for (const service_account& account : configuration.accounts()) {
    if (account.quota) {
      quotas[account.name] = *account.quota;
    }
  }
  quota_.Configure(quotas, clock_->Now());
}

void quota_gate::OnDigest(const load_digest& digest) {
  if (digest.role != host_role::gateway) {
    return;
  }
  // A new peer, or one that restarted, needs the totals of all accounts.
  if (std::exchange(incarnations_[digest.host], digest.incarnation) !=
      digest.incarnation) {
    complete_sent_ = {};
  }
  std::map<std::string, std::int64_t> totals;
  for (const account_use& use : digest.uses) {
    totals[use.account] = use.admitted;
  }
  quota_.ApplyPeerTotals(digest.host, digest.incarnation, totals, clock_->Now(),
                         !digest.partial_uses);
}

void quota_gate::FillDigest(load_digest& digest) {
  const time_point now = clock_->Now();
  const duration repeat = std::max<duration>(
      kRepeatChanges, kRepeatedDigests * peers_->DigestInterval());
  std::erase_if(changed_, [now, repeat](const auto& item) {
    return now - item.second > repeat;
  });
  digest.partial_uses = now - complete_sent_ < kCompletePeriod;
  if (!digest.partial_uses) {
    complete_sent_ = now;
  }
  for (const auto& [account, admitted] : quota_.admitted()) {
    if (!digest.partial_uses || changed_.contains(account)) {
      digest.uses.push_back({account, admitted});
    }
  }
}

void quota_gate::UpdateHostCounts(time_point now) {
  const auto [known_gateways, live_gateways] = peers_->GatewayCounts(now);
  quota_.SetHostCounts(live_gateways + 1, known_gateways + 1, now);
}

std::optional<std::chrono::milliseconds> quota_gate::Admit(
    const std::string& account) {
  const time_point now = clock_->Now();
  UpdateHostCounts(now);
  const auto wait = quota_.Admit(account, now);
  if (!wait) {
    changed_[account] = now;
  }
  return wait;
}

void quota_gate::Refund(const std::string& account) {
  quota_.Refund(account, clock_->Now());
  changed_[account] = clock_->Now();
}

}  // namespace cardamomyard
