#include "src/node/entry/table_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("limits");
constexpr std::chrono::milliseconds kInterval{1000};
constexpr std::chrono::milliseconds kIntervalAtStart{100};
constexpr std::chrono::seconds kHostListWait{1};
constexpr std::chrono::seconds kLostAfter{10};
// Older agreements are requested again: the host may have restarted and lost
// its promise.
constexpr std::chrono::seconds kMaxAgreementAge{3};

bool Contains(const std::vector<std::string>& all, const std::string& one) {
  return std::ranges::find(all, one) != all.end();
}

}  // namespace

table_keeper::table_keeper(
    process_context& context,
    share_table_follower& table,
    const host_view& peers,
    const store_contact& store,
    std::function<void(const std::string&)> request_agreement)
    : context_(&context),
      table_(&table),
      peers_(&peers),
      store_(&store),
      request_agreement_(std::move(request_agreement)),
      started_(context.time().Now()),
      random_(Hash64(context.settings().id,
                     static_cast<std::uint64_t>(context.incarnation()))) {}

void table_keeper::OnHostList(const std::vector<listed_host>& hosts) {
  host_list_received_ = true;
  listed_hosts_.clear();
  for (const listed_host& host : hosts) {
    if (host.role == "entry" && !host.leaving) {
      listed_hosts_.push_back(host.id);
    }
  }
}

bool table_keeper::IsLost(const std::string& host) const {
  const time_point now = context_->time().Now();
  if (host == context_->settings().id || now - started_ <= kLostAfter) {
    return false;
  }
  const std::vector<entry_host> peers = peers_->Peers();
  return std::ranges::none_of(peers, [&](const entry_host& peer) {
    return peer.id == host && peer.last_heard >= now - kLostAfter;
  });
}

void table_keeper::RecordAgreement(const std::string& host,
                                   const std::string& candidate,
                                   std::uint64_t epoch) {
  // An agreement given for an older table may have been revoked.
  if (epoch == agreement_epoch_ && candidate == candidate_ &&
      epoch == table_->epoch()) {
    agreements_[host] = context_->time().Now();
  }
}

asio::awaitable<void> table_keeper::Run() {
  const std::string& self = context_->settings().id;
  while (true) {
    const time_point now = context_->time().Now();
    const bool store_read = !store_->Unreachable(now) && store_->Age(now);
    if (store_read && table_->epoch() == 0) {
      co_await CreateTable();
    } else if (store_read && !Contains(table_->table().hosts, self)) {
      result<share_table> next = PlanJoin(table_->table(), self);
      co_await WriteTable(std::move(next));
    } else if (store_read) {
      co_await RemoveLostHost();
    }
    const auto interval = table_->epoch() == 0 ? kIntervalAtStart : kInterval;
    // Without jitter, hosts that start together conflict on every write.
    const auto jitter = std::uniform_int_distribution<int>(
        0, static_cast<int>(interval.count()) / 2)(random_);
    co_await SleepFor(interval + std::chrono::milliseconds(jitter));
  }
}

asio::awaitable<void> table_keeper::CreateTable() {
  if (!host_list_received_ &&
      context_->time().Now() - started_ < kHostListWait) {
    co_return;
  }
  std::set<std::string> hosts(listed_hosts_.begin(), listed_hosts_.end());
  hosts.insert(context_->settings().id);
  for (const entry_host& peer : peers_->Peers()) {
    if (peer.last_heard > time_point::min()) {
      hosts.insert(peer.id);
    }
  }
  share_table first{1, {hosts.begin(), hosts.end()}};
  co_await WriteTable(std::move(first));
}

asio::awaitable<void> table_keeper::RemoveLostHost() {
  const time_point now = context_->time().Now();
  // Only a few hosts propose removals, so that their writes rarely conflict.
  if (!Contains(peers_->ConfigWatchers(kContactWindow, now),
                context_->settings().id)) {
    co_return;
  }
  const std::vector<std::string> hosts = table_->table().hosts;
  const auto lost = std::ranges::find_if(
      hosts, [this](const std::string& host) { return IsLost(host); });
  if (lost == hosts.end()) {
    candidate_.clear();
    co_return;
  }
  if (candidate_ != *lost || agreement_epoch_ != table_->epoch()) {
    candidate_ = *lost;
    agreement_epoch_ = table_->epoch();
    agreements_.clear();
  }
  std::set<std::string> agreed;
  for (const auto& [host, at] : agreements_) {
    if (now - at <= kMaxAgreementAge) {
      agreed.insert(host);
    }
  }
  result<share_table> next = PlanRemoval(table_->table(), {candidate_}, agreed);
  if (!next) {
    request_agreement_(candidate_);
    co_return;
  }
  kLog.Info("Removing a lost host from the share table.",
            {{"host", candidate_}, {"agreed", agreed.size()}});
  co_await WriteTable(std::move(next));
}

asio::awaitable<void> table_keeper::WriteTable(result<share_table> next) {
  if (!next) {
    co_return;
  }
  share_table table = std::move(*next);
  auto written = co_await table_->Write(std::move(table));
  if (!written) {
    kLog.Info("The share table could not be written.",
              {{"error", written.error().message()}});
    // Another host may have written first; the table is read again in any case.
    co_await table_->ReadStore();
  }
}

}  // namespace cardamomyard
