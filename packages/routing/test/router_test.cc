#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "cardamomyard/base.h"
#include "cardamomyard/routing.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

std::vector<backend_candidate> Servers(int count) {
  std::vector<backend_candidate> servers;
  servers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    servers.push_back({"server-" + std::to_string(i),
                       i % 2 == 0 ? "suva" : "nadi",
                       "127.0.0.1:1",
                       4,
                       0,
                       milliseconds(20),
                       {},
                       kStart});
  }
  return servers;
}

// Guards against a snapshot change that moves prefixes of servers that stayed
// and so empties their caches.
TEST(CandidateSetTest, LeavingServerMovesOnlyItsOwnKeys) {
  auto servers = Servers(40);
  const auto before = candidate_set::Make(servers);
  servers.erase(servers.begin() + 7);
  const auto after = candidate_set::Make(servers, before.get());
  for (std::uint64_t i = 0; i < 2000; ++i) {
    const std::uint64_t key = Hash64(std::to_string(i));
    const auto& old_id =
        before->candidates()[before->RingSuccessors(key, 1, {})[0]].id;
    if (old_id != "server-7") {
      EXPECT_EQ(after->candidates()[after->RingSuccessors(key, 1, {})[0]].id,
                old_id);
    }
  }
  EXPECT_FALSE(after->shares_ring_with(*before));
  EXPECT_TRUE(
      candidate_set::Make(servers, after.get())->shares_ring_with(*after));
}

// Guards against a retry at the server that failed, and against giving up while
// an allowed server exists.
TEST(RouterTest, ExcludedServersAreNeverChosen) {
  for (const router::policy& policy :
       {router::policy(affinity_router("suva")),
        router::policy(round_robin_router()),
        router::policy(least_loaded_router("suva"))}) {
    router chosen(policy);
    std::mt19937_64 random(1);
    EXPECT_EQ(chosen.Choose(1, {}, kStart, random).error().kind(),
              error_kind::no_backend);
    chosen.Update(candidate_set::Make(Servers(3)));
    std::vector<std::string> excluded;
    std::set<std::string> seen;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const auto choice = chosen.Choose(1, excluded, kStart, random);
      ASSERT_TRUE(choice);
      EXPECT_TRUE(seen.insert(choice->id).second) << choice->id;
      excluded.push_back(choice->id);
    }
    EXPECT_FALSE(chosen.Choose(1, excluded, kStart, random));
  }
}

// Guards against a request sent to another zone for nothing, and against a zone
// preference that outweighs a real wait.
TEST(RouterTest, SameZoneWinsOnlyWhenWaitsAreClose) {
  auto servers = Servers(2);
  std::mt19937_64 random(1);
  for (const int queue : {0, 20}) {
    servers[0].queue_length = queue;
    affinity_router chosen("suva");
    chosen.Update(candidate_set::Make(servers));
    EXPECT_EQ(chosen.Choose(5, {}, kStart, random)->id,
              queue == 0 ? "server-0" : "server-1");
  }
}

// Guards against losing the prompt cache and against a herd at the server of a
// popular prefix between two reports.
TEST(RouterTest, PopularPrefixOverflowsToOtherServers) {
  const std::uint64_t prefix = PromptPrefixHash(std::string(300, 'x') + "one");
  EXPECT_EQ(prefix, PromptPrefixHash(std::string(300, 'x') + "two"));
  auto servers = Servers(12);
  const std::size_t home =
      candidate_set::Make(servers)->RingSuccessors(prefix, 1, {})[0];
  const std::string home_id =
      candidate_set::Make(servers)->candidates()[home].id;
  for (auto& server : servers) {
    if (server.id == home_id) {
      server.prefix_digests = {prefix};
    }
  }
  affinity_router chosen("suva");
  chosen.Update(candidate_set::Make(servers));
  std::mt19937_64 random(3);
  std::map<std::string, int> sent;
  for (int i = 0; i < 48; ++i) {
    const auto choice = chosen.Choose(prefix, {}, kStart, random);
    EXPECT_EQ(choice->cached_prefix, choice->id == home_id);
    if (i == 0) {
      EXPECT_EQ(choice->id, home_id);
    }
    ++sent[choice->id];
    chosen.RecordSent(choice->id, kStart);
  }
  for (const auto& [id, count] : sent) {
    EXPECT_LE(count, 6) << id;  // 4 slots each; 48 requests fill 12 servers.
  }
  EXPECT_GE(sent.size(), 8U);
  for (int i = 0; i < sent[home_id]; ++i) {
    chosen.RecordFinished(home_id, kStart);
  }
  EXPECT_EQ(chosen.Choose(prefix, {}, kStart, random)->id, home_id);
}

// Differential against round robin: some servers are slow and reports lag.
TEST(RouterTest, WaitsAreShorterThanUnderRoundRobin) {
  const auto total_excess = [](router chosen) {
    auto servers = Servers(16);
    std::mt19937_64 random(7);
    int excess = 0;
    std::map<std::string, int> load;
    for (int second = 0; second < 50; ++second) {
      const time_point now = kStart + std::chrono::seconds(second);
      for (std::size_t i = 0; i < servers.size(); ++i) {
        int& running = load[servers[i].id];
        running = std::max(0, running - (i % 4 == 0 ? 1 : 5));
        servers[i].free_slots = std::max(0, 4 - running);
        servers[i].queue_length = std::max(0, running - 4);
        servers[i].report_time = now;
        excess += servers[i].queue_length;
      }
      chosen.Update(candidate_set::Make(servers));
      for (int i = 0; i < 48; ++i) {
        const auto choice = chosen.Choose(random(), {}, now, random);
        ++load[choice->id];
        chosen.RecordSent(choice->id, now);
      }
    }
    return excess;
  };
  const int naive = total_excess(router(round_robin_router()));
  const int affinity = total_excess(router(affinity_router("suva")));
  RecordProperty("queued_round_robin", naive);
  RecordProperty("queued_affinity", affinity);
  EXPECT_LT(affinity * 2, naive);
}

}  // namespace
}  // namespace cardamomyard
