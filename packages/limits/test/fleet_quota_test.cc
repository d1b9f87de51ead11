#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cardamomyard/limits.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr double kRate = 40;
constexpr double kBurst = 40;
constexpr milliseconds kTick{10};

/// \brief Simulates hosts that share one quota and exchange their totals.
class quota_simulation {
 public:
  explicit quota_simulation(int hosts) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(StartHost(true));
      reachable_hosts_.push_back(hosts);
    }
  }

  /// \param groups  for each host, the side of the partition that it is on.
  void Partition(const std::vector<int>& groups) {
    partition_groups_ = groups;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      reachable_hosts_[i] =
          static_cast<int>(std::count(groups.begin(), groups.end(), groups[i]));
    }
  }

  void Restart(std::size_t host) {
    hosts_[host] = StartHost(false);
    ++incarnation_[host];
  }

  /// Each host receives \p requests_per_second.
  void Run(milliseconds run_time, double requests_per_second) {
    for (milliseconds elapsed{0}; elapsed < run_time; elapsed += kTick) {
      Exchange();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i]->SetHostCounts(reachable_hosts_[i],
                                 static_cast<int>(hosts_.size()), clock_.Now());
        pending_requests_[i] +=
            requests_per_second * static_cast<double>(kTick.count()) / 1000;
        for (; pending_requests_[i] >= 1; --pending_requests_[i]) {
          (hosts_[i]->Admit("a", clock_.Now()) ? refused_ : admitted_) += 1;
        }
      }
      clock_.Advance(kTick);
    }
  }

  int admitted() const { return admitted_; }
  int refused() const { return refused_; }
  void ResetCounts() { admitted_ = refused_ = 0; }

 private:
  std::unique_ptr<fleet_quota> StartHost(bool first_start) {
    auto quota = std::make_unique<fleet_quota>(first_start);
    quota->Configure({{"a", {kRate, kBurst}}}, clock_.Now());
    return quota;
  }

  void Exchange() {
    // Digests arrive after 40 ms.
    std::vector<std::map<std::string, std::int64_t>> totals_now;
    for (const auto& host : hosts_) {
      totals_now.push_back(host->admitted());
    }
    messages_in_transit_.push_back({totals_now, incarnation_});
    if (messages_in_transit_.size() <= 4) {
      return;
    }
    const auto [totals, incarnations] = messages_in_transit_.front();
    messages_in_transit_.erase(messages_in_transit_.begin());
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      for (std::size_t from = 0; from < hosts_.size(); ++from) {
        const bool connected = partition_groups_.empty() ||
                               partition_groups_[from] == partition_groups_[to];
        if (from != to && connected) {
          hosts_[to]->ApplyPeerTotals("h" + std::to_string(from),
                                      1 + Incarnation(incarnations, from),
                                      totals[from], clock_.Now());
        }
      }
    }
  }

  static std::int64_t Incarnation(
      const std::map<std::size_t, std::int64_t>& incarnations,
      std::size_t host) {
    const auto found = incarnations.find(host);
    return found == incarnations.end() ? 0 : found->second;
  }

  struct sent_totals {
    std::vector<std::map<std::string, std::int64_t>> totals;
    std::map<std::size_t, std::int64_t> incarnations;
  };

  manual_clock clock_;
  std::vector<std::unique_ptr<fleet_quota>> hosts_;
  std::vector<int> reachable_hosts_;
  std::vector<int> partition_groups_;
  std::map<std::size_t, double> pending_requests_;
  std::map<std::size_t, std::int64_t> incarnation_;
  std::vector<sent_totals> messages_in_transit_;
  int admitted_ = 0;
  int refused_ = 0;
};

/// Most requests of an account that may be admitted in five seconds, with the
/// tolerance of rule 7: 10 % and 20 requests.
constexpr double kMaxAdmittedInFiveSeconds = (5 * kRate + kBurst) * 1.1 + 20;

// Hosts that ignore what their peers admit would each admit the whole quota.
TEST(FleetQuota, Rule07_HotAccountStaysWithinItsQuota) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(5000), 60);
  EXPECT_LE(fleet.admitted(), kMaxAdmittedInFiveSeconds);
  EXPECT_GE(fleet.admitted(), 0.95 * (5 * kRate + kBurst));
}

// A request could be refused although the account is below its quota.
TEST(FleetQuota, CallerBelowItsRateIsNeverRefused) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(20'000), kRate * 0.95 / 5);
  EXPECT_EQ(fleet.refused(), 0);
}

// The sides of a partition do not hear what the other side admits and could
// each admit the whole quota.
TEST(FleetQuota, Rule07_PartsOfAPartitionStayWithinTheQuotaTogether) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(5000), 60);
  fleet.Partition({0, 0, 1, 1, 1});
  fleet.Run(milliseconds(200), 60);
  fleet.ResetCounts();
  fleet.Run(milliseconds(5000), 60);
  EXPECT_LE(fleet.admitted(), kMaxAdmittedInFiveSeconds);
}

// Hosts that restart with full buckets would grant the burst again.
TEST(FleetQuota, Rule07_RestartsDoNotGrantTheBurstAgain) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(5000), 60);
  fleet.ResetCounts();
  for (std::size_t host = 0; host < 5; ++host) {
    fleet.Restart(host);
    fleet.Run(milliseconds(1000), 60);
  }
  EXPECT_LE(fleet.admitted(), kMaxAdmittedInFiveSeconds);
}

// Digests mostly name only the accounts that changed. What a peer admitted
// before it was first heard must not be charged when its account is named
// later.
TEST(FleetQuota, PartialListsChargeOnlyWhatIsNew) {
  manual_clock clock;
  fleet_quota quota(true);
  quota.Configure({{"a", {kRate, kBurst}}, {"b", {kRate, kBurst}}},
                  clock.Now());
  const auto admitted = [&](const std::string& account) {
    int count = 0;
    while (!quota.Admit(account, clock.Now())) {
      ++count;
    }
    return count;
  };
  quota.ApplyPeerTotals("peer", 1, {{"a", 30}}, clock.Now(), false);
  quota.ApplyPeerTotals("peer", 1, {{"a", 30}, {"b", 500}}, clock.Now());
  quota.ApplyPeerTotals("peer", 1, {{"a", 35}}, clock.Now(), false);
  EXPECT_EQ(admitted("a"), 35);
  EXPECT_EQ(admitted("b"), 40);
}

}  // namespace
}  // namespace cardamomyard
