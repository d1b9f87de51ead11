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

/// \brief Hosts that share one quota and tell each other their totals.
class quota_simulation {
 public:
  explicit quota_simulation(int hosts) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(Started(true));
      reaches_.push_back(hosts);
    }
  }

  /// \p group names for each host the part of a partition that it is in.
  void Partition(const std::vector<int>& group) {
    group_ = group;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      reaches_[i] =
          static_cast<int>(std::count(group.begin(), group.end(), group[i]));
    }
  }

  void Restart(std::size_t host) {
    hosts_[host] = Started(false);
    ++incarnation_[host];
  }

  /// Each host is asked for \p per_second requests a second.
  void Run(milliseconds time, double per_second) {
    for (milliseconds done{0}; done < time; done += kTick) {
      Exchange();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i]->SetHostCounts(reaches_[i], static_cast<int>(hosts_.size()),
                                 clock_.Now());
        owed_[i] += per_second * static_cast<double>(kTick.count()) / 1000;
        for (; owed_[i] >= 1; --owed_[i]) {
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
  std::unique_ptr<fleet_quota> Started(bool first_start) {
    auto made = std::make_unique<fleet_quota>(first_start);
    made->Configure({{"a", {kRate, kBurst}}}, clock_.Now());
    return made;
  }

  void Exchange() {
    // Digests arrive after 40 ms.
    std::vector<std::map<std::string, std::int64_t>> now;
    for (const auto& host : hosts_) {
      now.push_back(host->admitted());
    }
    past_.push_back({now, incarnation_});
    if (past_.size() <= 4) {
      return;
    }
    const auto [totals, incarnations] = past_.front();
    past_.erase(past_.begin());
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      for (std::size_t from = 0; from < hosts_.size(); ++from) {
        const bool reaches = group_.empty() || group_[from] == group_[to];
        if (from != to && reaches) {
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

  struct moment {
    std::vector<std::map<std::string, std::int64_t>> totals;
    std::map<std::size_t, std::int64_t> incarnations;
  };

  manual_clock clock_;
  std::vector<std::unique_ptr<fleet_quota>> hosts_;
  std::vector<int> reaches_;
  std::vector<int> group_;
  std::map<std::size_t, double> owed_;
  std::map<std::size_t, std::int64_t> incarnation_;
  std::vector<moment> past_;
  int admitted_ = 0;
  int refused_ = 0;
};

/// What an account may have in five seconds, with the tolerance of the rule: a
/// tenth and twenty requests.
constexpr double kMostInFiveSeconds = (5 * kRate + kBurst) * 1.1 + 20;

// Guards against hosts that each admit the whole quota.
TEST(FleetQuota, Rule07_HotAccountStaysWithinItsQuota) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(5000), 60);
  EXPECT_LE(fleet.admitted(), kMostInFiveSeconds);
  EXPECT_GE(fleet.admitted(), 0.95 * (5 * kRate + kBurst));
}

// Guards against refusals below the quota.
TEST(FleetQuota, CallerBelowItsRateIsNeverRefused) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(20'000), kRate * 0.95 / 5);
  EXPECT_EQ(fleet.refused(), 0);
}

// Guards against the parts of a partition that each admit the whole quota.
TEST(FleetQuota, Rule07_PartsOfAPartitionStayWithinTheQuotaTogether) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(5000), 60);
  fleet.Partition({0, 0, 1, 1, 1});
  fleet.Run(milliseconds(200), 60);
  fleet.ResetCounts();
  fleet.Run(milliseconds(5000), 60);
  EXPECT_LE(fleet.admitted(), kMostInFiveSeconds);
}

// Guards against a burst that is granted again by each restarted host.
TEST(FleetQuota, Rule07_RestartsDoNotGrantTheBurstAgain) {
  quota_simulation fleet(5);
  fleet.Run(milliseconds(5000), 60);
  fleet.ResetCounts();
  for (std::size_t host = 0; host < 5; ++host) {
    fleet.Restart(host);
    fleet.Run(milliseconds(1000), 60);
  }
  EXPECT_LE(fleet.admitted(), kMostInFiveSeconds);
}

}  // namespace
}  // namespace cardamomyard
