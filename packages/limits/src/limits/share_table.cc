#include "src/limits/share_table.h"

#include <algorithm>
#include <cmath>

namespace cardamomyard {

result<share_table> PlanJoin(const share_table& table,
                             const std::string& host) {
  if (std::ranges::find(table.hosts, host) != table.hosts.end()) {
    return Fail(error_kind::conflict,
                "host " + host + " is already in the share table");
  }
  share_table next{table.epoch + 1, table.hosts};
  next.hosts.push_back(host);
  std::ranges::sort(next.hosts);
  return next;
}

result<share_table> PlanRemoval(const share_table& table,
                                const std::set<std::string>& removed,
                                const std::set<std::string>& agreed) {
  share_table next{table.epoch + 1, {}};
  std::size_t votes = 0;
  for (const std::string& host : table.hosts) {
    if (!removed.contains(host)) {
      next.hosts.push_back(host);
      votes += agreed.contains(host) ? 1 : 0;
    }
  }
  const std::size_t removed_count = table.hosts.size() - next.hosts.size();
  if (removed_count == 0 || removed_count * 2 >= table.hosts.size()) {
    return Fail(error_kind::conflict,
                "a removal must take at least one host and fewer than half of "
                "the hosts");
  }
  if (votes * 2 <= table.hosts.size()) {
    return Fail(error_kind::conflict,
                "a majority of the hosts must agree to a removal");
  }
  return next;
}

std::size_t HomeCount(const account_limits& limits, std::size_t hosts) {
  constexpr double kRequestsPerSecondPerHome = 20;
  const double wanted =
      std::min(std::ceil(limits.rate_per_second / kRequestsPerSecondPerHome),
               std::floor(limits.burst));
  return static_cast<std::size_t>(
      std::clamp(wanted, 1.0, std::max(1.0, static_cast<double>(hosts))));
}

std::vector<std::string> Homes(const share_table& table,
                               const std::string& account,
                               const account_limits& limits) {
  return RendezvousTop(table.hosts, account,
                       HomeCount(limits, table.hosts.size()));
}

}  // namespace cardamomyard
