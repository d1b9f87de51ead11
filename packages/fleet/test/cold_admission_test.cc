#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr cold_bounds kBounds{1.5, 5};
constexpr double kRate = 23;

/// \brief Gateways that each try to send to all cold servers all the time,
/// while the network splits and hosts are cut off, lost and restarted.
class cold_fleet {
 public:
  cold_fleet(std::uint64_t seed, std::size_t hosts, std::size_t servers)
      : random_(seed), hosts_(hosts), sent_(servers) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Restart(i);
    }
  }

  /// \returns the most requests that a server got within any second.
  std::size_t Run(milliseconds length) {
    const time_point end = now_ + length;
    while (now_ < end) {
      now_ += kTick;
      ChangeNetwork();
      SendDigests();
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (now_ >= hosts_[host].next_update) {
          hosts_[host].next_update = now_ + kUpdatePeriod;
          Update(host);
        }
        SendRequests(host);
      }
    }
    return most_;
  }
  std::size_t total() const { return total_; }

 private:
  static constexpr milliseconds kTick{10};
  static constexpr milliseconds kDigestPeriod{250};
  static constexpr milliseconds kLiveness{900};
  // The runtime tells the limit of the heard hosts at this interval.
  static constexpr milliseconds kUpdatePeriod{200};

  struct host {
    std::unique_ptr<cold_admission> limit;
    int group = 0;
    bool up = true;
    time_point next_digest;
    time_point next_update;
    std::map<std::size_t, time_point> heard;
  };

  static std::string Name(std::size_t host) {
    return "gateway-" + std::to_string(host);
  }
  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }

  void Restart(std::size_t index) {
    host& restarted = hosts_[index];
    restarted.limit = std::make_unique<cold_admission>(Name(index), kBounds);
    restarted.heard.clear();
    restarted.up = true;
    restarted.next_digest = now_ + milliseconds(Below(250));
    restarted.next_update = now_;
  }

  void ChangeNetwork() {
    if (Below(150) == 0) {
      // Two halves, and a few hosts that hear nobody.
      const bool splits = Below(2) == 0;
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].group = Below(10) == 0 ? static_cast<int>(i) + 2
                          : splits       ? static_cast<int>(Below(2))
                                         : 0;
      }
    }
    if (Below(100) == 0) {
      const std::size_t one = Below(hosts_.size());
      hosts_[one].up = !hosts_[one].up;
      if (hosts_[one].up) {
        Restart(one);
      }
    }
    if (Below(400) == 0) {
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        Restart(i);
      }
    }
  }

  void SendDigests() {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      host& sender = hosts_[from];
      if (!sender.up || now_ < sender.next_digest) {
        continue;
      }
      sender.next_digest = now_ + kDigestPeriod;
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from && hosts_[to].group == sender.group && Below(10) != 0) {
          hosts_[to].heard[from] = now_;
        }
      }
    }
  }

  void Update(std::size_t index) {
    std::vector<std::string> heard;
    for (const auto& [from, when] : hosts_[index].heard) {
      if (now_ - when < kLiveness) {
        heard.push_back(Name(from));
      }
    }
    // All hosts are listed in the store.
    hosts_[index].limit->SetGateways(heard, hosts_.size() - 1, now_);
  }

  void SendRequests(std::size_t index) {
    if (!hosts_[index].up) {
      return;
    }
    for (std::size_t server = 0; server < sent_.size(); ++server) {
      while (hosts_[index].limit->Admit("s" + std::to_string(server), kRate,
                                        now_)) {
        std::deque<time_point>& sent = sent_[server];
        sent.push_back(now_);
        while (now_ - sent.front() >= std::chrono::seconds(1)) {
          sent.pop_front();
        }
        most_ = std::max(most_, sent.size());
        ++total_;
      }
    }
  }

  std::mt19937_64 random_;
  time_point now_ = kStart;
  std::vector<host> hosts_;
  std::vector<std::deque<time_point>> sent_;
  std::size_t most_ = 0;
  std::size_t total_ = 0;
};

// A cold server crashes when hosts that disagree about who lives send it more
// than the limit together, or when a new admitter starts beside the last one.
TEST(cold_admission, NoSecondExceedsTheLimitWhoeverIsHeard) {
  const auto limit =
      static_cast<std::size_t>(kRate * kBounds.overage + kBounds.slack);
  std::size_t total = 0;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    const std::size_t hosts = 1 + seed % 40;
    cold_fleet fleet(seed, hosts, 6);
    ASSERT_LE(fleet.Run(std::chrono::seconds(12)), limit)
        << "seed " << seed << ", " << hosts << " hosts";
    total += fleet.total();
  }
  // A limit that admits nothing would pass as well.
  EXPECT_GT(total, 10'000U);
}

// A host that is cut off must not send, as the others send their part already.
TEST(cold_admission, AdmitsNothingWithoutAMajority) {
  cold_admission limit("a", kBounds);
  limit.SetGateways({"b"}, 4, kStart);
  EXPECT_FALSE(limit.MaySend("s", kRate, kStart + std::chrono::hours(1)));
}

// In a calm fleet a server must not wait idle for an admitter.
TEST(cold_admission, ACalmFleetSendsToEveryColdServer) {
  const std::vector<std::string> hosts{"a", "b", "c", "d", "e"};
  std::vector<cold_admission> limits;
  for (const std::string& host : hosts) {
    limits.emplace_back(host, kBounds);
    std::vector<std::string> others = hosts;
    std::erase(others, host);
    limits.back().SetGateways(others, others.size(), kStart);
  }
  const time_point later = kStart + cold_admission::kSettlingTime;
  for (int server = 0; server < 20; ++server) {
    const auto admitters =
        std::count_if(limits.begin(), limits.end(), [&](cold_admission& limit) {
          return limit.MaySend("s" + std::to_string(server), kRate, later);
        });
    EXPECT_EQ(admitters, 2);
  }
}

// A report about an earlier instance, which a host with an old entry may send
// at any time, must not end what is known of the present one.
TEST(cold_servers, TheLongestReportAboutAnInstanceHolds) {
  cold_servers cold;
  const auto server = cold_servers::source::server;
  EXPECT_TRUE(cold.Record({"s", 1}, milliseconds(3000), server, kStart));
  EXPECT_FALSE(cold.Record({"s", 1}, milliseconds(500), server, kStart));
  EXPECT_FALSE(cold.IsCold({"s", 2}, kStart));
  EXPECT_TRUE(cold.Record({"s", 2}, milliseconds(100), server, kStart));
  EXPECT_TRUE(cold.IsCold({"s", 2}, kStart));
  EXPECT_TRUE(cold.IsCold({"s", 1}, kStart + milliseconds(2999)));
  EXPECT_FALSE(cold.IsCold({"s", 1}, kStart + milliseconds(3000)));
}

// Reports that hosts pass on to each other must not keep a server cold for
// ever.
TEST(cold_servers, DigestsDoNotProlongTheTime) {
  std::vector<cold_servers> hosts(30);
  hosts[0].Record({"s", 1}, milliseconds(1000), cold_servers::source::server,
                  kStart);
  time_point now = kStart;
  for (int round = 0; round < 500; ++round) {
    now += milliseconds(3);
    const auto sender = static_cast<std::size_t>(round) % hosts.size();
    const auto reports = hosts[sender].Remaining(now);
    for (cold_servers& host : hosts) {
      for (const auto& report : reports) {
        host.Record(report.server, report.left, cold_servers::source::peer,
                    now + milliseconds(5));
      }
    }
  }
  const time_point end = kStart + milliseconds(1000) + milliseconds(10);
  for (const cold_servers& host : hosts) {
    EXPECT_FALSE(host.IsCold({"s", 1}, end));
  }
}

// Gateways that drain don't count each other, so each would rank itself.
TEST(cold_admission, ADrainingHostSendsNothing) {
  cold_admission limit("a", kBounds);
  limit.SetGateways({}, 0, kStart);
  const time_point later = kStart + cold_admission::kSettlingTime;
  EXPECT_TRUE(limit.MaySend("s", kRate, later));
  limit.Withdraw();
  EXPECT_FALSE(limit.MaySend("s", kRate, later));
  EXPECT_FALSE(limit.MaySend("other", kRate, later));
}

class evacuated_directory : public ::testing::Test {
 protected:
  static backend_entry Entry(const std::string& id, const std::string& zone) {
    backend_entry entry;
    entry.id = id;
    entry.service = "lm";
    entry.zone = zone;
    entry.revision = 1;
    return entry;
  }
  void SetUp() override {
    directory_.Upsert(Entry("a", "north"), kStart);
    directory_.Upsert(Entry("b", "south"), kStart);
  }
  std::vector<std::string> Usable() {
    std::vector<std::string> ids;
    for (const usable_backend& backend : directory_.Usable(kStart)) {
      ids.push_back(backend.entry.id);
    }
    return ids;
  }

  backend_directory directory_{milliseconds(2000)};
};

// A request that was placed before its zone was evacuated must not be sent.
TEST_F(evacuated_directory, ServersOfTheZoneGetNothingUntilItReturns) {
  directory_.SetEvacuations({"north"});
  EXPECT_EQ(Usable(), std::vector<std::string>{"b"});
  EXPECT_FALSE(directory_.TakesWork(Entry("a", "north")));
  directory_.SetEvacuations({});
  EXPECT_EQ(Usable().size(), 2U);
  EXPECT_TRUE(directory_.TakesWork(Entry("a", "north")));
}

// A host that has just started must not send to an evacuated zone because it
// has not heard of it yet.
TEST_F(evacuated_directory, NothingIsUsableBeforeEvacuationsAreKnown) {
  directory_.RequireEvacuations();
  EXPECT_TRUE(Usable().empty());
  EXPECT_FALSE(directory_.TakesWork(Entry("b", "south")));
  directory_.SetEvacuations({"north"});
  EXPECT_EQ(Usable(), std::vector<std::string>{"b"});
}

// An entry that is only listed again must not make a warm server cold.
TEST_F(evacuated_directory, AnEntryThatIsListedAgainTellsNothingNew) {
  directory_.LimitColdServers();
  backend_entry cold = Entry("c", "south");
  cold.cold_remaining = milliseconds(1000);
  directory_.Upsert(cold, kStart);
  EXPECT_TRUE(directory_.IsCold(cold, kStart));
  const time_point later = kStart + milliseconds(5000);
  directory_.Upsert(cold, later);
  EXPECT_FALSE(directory_.IsCold(cold, later));
  cold.revision = 2;
  directory_.Upsert(cold, later);
  EXPECT_TRUE(directory_.IsCold(cold, later));
}

// A host with older news must not bring back a zone that was evacuated since.
TEST(zone_evacuations, TheNewestRevisionHolds) {
  zone_evacuations known;
  EXPECT_FALSE(known.ApplySnapshot({{}, 9}));
  EXPECT_TRUE(known.ApplyChanges({{{{"north", "", 10}, false}}, 10}));
  EXPECT_FALSE(known.Adopt({}, 9));
  EXPECT_EQ(known.zones().size(), 1U);
  EXPECT_TRUE(known.Adopt({}, 11));
  EXPECT_FALSE(known.Adopt({"north"}, 10));
  EXPECT_FALSE(known.ApplyChanges({{{{"north", "", 10}, false}}, 10}));
  EXPECT_TRUE(known.zones().empty());
  EXPECT_TRUE(known.Adopt({"north", "south"}, 12));
  EXPECT_FALSE(known.Adopt({"south"}, 12));
  EXPECT_EQ(known.zones().size(), 2U);
}

// A digest that is sent in the middle of an answer of the store names a zone
// that the operator serves again; it must not come back to its sender.
TEST(zone_evacuations, ServedZonesStayServedWhenOneAnswerEndsSeveral) {
  zone_evacuations host;
  zone_evacuations peer;
  host.ApplySnapshot({{{"north", "", 5}, {"south", "", 6}}, 10});
  peer.ApplySnapshot({{{"north", "", 5}, {"south", "", 6}}, 10});
  const store_changes answer{
      {{{"north", "", 5}, true}, {{"south", "", 6}, true}}, 12};
  EXPECT_TRUE(host.ApplyChanges(answer));
  EXPECT_TRUE(host.zones().empty());
  EXPECT_TRUE(
      peer.Adopt({host.zones().begin(), host.zones().end()}, host.revision()));
  EXPECT_FALSE(
      host.Adopt({peer.zones().begin(), peer.zones().end()}, peer.revision()));
  EXPECT_TRUE(host.zones().empty());
  EXPECT_TRUE(peer.zones().empty());
}

// A zone list from a host that has it wrong must not outlast the store's.
TEST(zone_evacuations, AWrongListOfAPeerIsEndedByTheStore) {
  zone_evacuations known;
  known.ApplySnapshot({{}, 10});
  EXPECT_TRUE(known.Adopt({"north"}, 12));
  EXPECT_FALSE(known.needs_listing());
  known.ApplyChanges({{}, 12});
  EXPECT_TRUE(known.needs_listing());
  EXPECT_TRUE(known.ApplySnapshot({{}, 13}));
  EXPECT_TRUE(known.zones().empty());
  EXPECT_FALSE(known.needs_listing());
}

// Where route and account both name regions, a request must stay in both.
TEST(allowed_zones, RouteAndAccountBothBind) {
  const std::map<std::string, std::string> zones{
      {"n1", "north"}, {"s1", "south"}, {"e1", "east"}};
  service_route route;
  service_account account;
  EXPECT_FALSE(AllowedZones(route, &account, zones));
  route.allowed_regions = {"north", "south"};
  EXPECT_EQ(AllowedZones(route, nullptr, zones),
            (std::set<std::string>{"n1", "s1"}));
  account.allowed_regions = {"south", "east"};
  EXPECT_EQ(AllowedZones(route, &account, zones), std::set<std::string>{"s1"});
  account.allowed_regions = {"east"};
  EXPECT_EQ(AllowedZones(route, &account, zones), std::set<std::string>{});
}

// The placement must obey zones and the limit of cold servers.
TEST(online_placement, SendsOnlyWhereTheRulesAllow) {
  backend_pool pool;
  usable_backend north;
  north.entry.id = "n";
  north.entry.service = "lm";
  north.entry.zone = "n1";
  north.entry.slots = 8;
  usable_backend south = north;
  south.entry.id = "s";
  south.entry.zone = "s1";
  south.cold = true;
  pool.SetBackends({north, south});
  online_placement placement("h0", "s1", 1);
  const auto choose = [&](const placement_rules& rules) -> std::string {
    const auto chosen =
        placement.Choose(pool, "lm", {}, milliseconds(100), kStart, rules);
    const auto* place = std::get_if<chosen_backend>(&chosen);
    return place == nullptr ? "" : place->server.entry.id;
  };
  cold_admission limit("h0", kBounds);
  EXPECT_EQ(choose({}), "s");
  EXPECT_EQ(choose({nullptr, &limit, kRate}), "n");
  const std::set<std::string> only_south{"s1"};
  EXPECT_EQ(choose({&only_south, &limit, kRate}), "");
  EXPECT_EQ(choose({&only_south, &limit, 0}), "s");
}

}  // namespace
}  // namespace cardamomyard
