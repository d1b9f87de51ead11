#include "src/gateway/quota_gate.h"

#include <map>

namespace cardamomyard {

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
  std::map<std::string, std::int64_t> totals;
  for (const account_use& use : digest.uses) {
    totals[use.account] = use.admitted;
  }
  quota_.ApplyPeerTotals(digest.host, digest.incarnation, totals,
                         clock_->Now());
}

void quota_gate::FillDigest(load_digest& digest) const {
  for (const auto& [account, admitted] : quota_.admitted()) {
    digest.uses.push_back({account, admitted});
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
  return quota_.Admit(account, now);
}

void quota_gate::Refund(const std::string& account) {
  quota_.Refund(account, clock_->Now());
}

}  // namespace cardamomyard
