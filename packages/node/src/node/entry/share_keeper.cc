#include "src/node/entry/share_keeper.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cardamomyard {

limits_snapshot LimitsOf(const configuration& content) {
  limits_snapshot limits;
  for (const account_config* account : content.All<account_config>()) {
    limits[account->name] = {account->rate_per_second,
                             static_cast<double>(account->burst)};
  }
  for (const route_config* route : content.All<route_config>()) {
    if (route->open) {
      limits["route/" + route->name] = {route->open_rate_per_second,
                                        static_cast<double>(route->open_burst)};
    }
  }
  return limits;
}

share_keeper::share_keeper(std::string self,
                           const clock& time,
                           duration increase_delay)
    : self_(std::move(self)),
      clock_(&time),
      limiter_(self_, {.increase_delay = increase_delay}) {}

void share_keeper::SetTable(const share_table& table, table_origin origin) {
  if (table.epoch <= table_.epoch) {
    return;
  }
  previous_hosts_ = std::exchange(table_, table).hosts;
  limiter_.SetTable(table, origin, clock_->Now());
  // The limiter accepts limits only after the first table.
  ApplyConfig();
  ConfirmAcknowledged();
}

void share_keeper::SetConfig(const config_view& view) {
  generation_ = view.generation();
  limits_ = std::make_shared<const limits_snapshot>(LimitsOf(view.content()));
  ApplyConfig();
  ConfirmAcknowledged();
}

void share_keeper::ApplyConfig() {
  if (table_.epoch > 0 && limits_) {
    limiter_.SetAccounts(generation_, limits_, clock_->Now());
  }
}

void share_keeper::RecordAcknowledgement(const std::string& host,
                                         std::uint64_t generation,
                                         std::uint64_t epoch) {
  acknowledged_versions& known = acknowledged_[host];
  if (generation > known.generation || epoch > known.epoch) {
    known = {std::max(known.generation, generation),
             std::max(known.epoch, epoch)};
    ConfirmAcknowledged();
  }
}

share_keeper::acknowledged_versions share_keeper::AcknowledgedByMajority(
    const std::vector<std::string>& hosts) const {
  std::vector<std::uint64_t> generations;
  std::vector<std::uint64_t> epochs;
  for (const std::string& host : hosts) {
    const auto found = acknowledged_.find(host);
    const acknowledged_versions own{generation_, table_.epoch};
    const acknowledged_versions known = host == self_ ? own
                                        : found == acknowledged_.end()
                                            ? acknowledged_versions{}
                                            : found->second;
    generations.push_back(known.generation);
    epochs.push_back(known.epoch);
  }
  std::ranges::sort(generations, std::greater<>());
  std::ranges::sort(epochs, std::greater<>());
  const std::size_t majority = hosts.size() / 2;
  return {generations[majority], epochs[majority]};
}

// A host that still acts on the previous table needs a majority of its hosts
// as evidence of an outage, so majorities of both tables' hosts must have the
// new one.
void share_keeper::ConfirmAcknowledged() {
  if (table_.hosts.empty()) {
    return;
  }
  acknowledged_versions known = AcknowledgedByMajority(table_.hosts);
  if (!previous_hosts_.empty()) {
    const acknowledged_versions before =
        AcknowledgedByMajority(previous_hosts_);
    known = {std::min(known.generation, before.generation),
             std::min(known.epoch, before.epoch)};
  }
  const time_point now = clock_->Now();
  limiter_.ConfirmTable(known.epoch, now);
  limiter_.ConfirmAccounts(known.generation, now);
}

}  // namespace cardamomyard
