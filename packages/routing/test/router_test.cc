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

// A snapshot change that remaps prefixes of the remaining servers would lose
// their prompt caches.
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

// A retry must not go to a server that failed, and must not give up while a
// server that is not excluded exists.
TEST(RouterTest, ExcludedServersAreNeverChosen) {
  for (const router::policy& policy :
       {router::policy(affinity_router("suva")),
        router::policy(round_robin_router()),
        router::policy(least_loaded_router("suva"))}) {
    router tested(policy);
    std::mt19937_64 random(1);
    EXPECT_EQ(tested.Choose(1, {}, kStart, random).error().kind(),
              error_kind::no_backend);
    tested.Update(candidate_set::Make(Servers(3)));
    std::vector<std::string> excluded;
    std::set<std::string> seen;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const auto choice = tested.Choose(1, excluded, kStart, random);
      ASSERT_TRUE(choice);
      EXPECT_TRUE(seen.insert(choice->id).second) << choice->id;
      excluded.push_back(choice->id);
    }
    EXPECT_FALSE(tested.Choose(1, excluded, kStart, random));
  }
}

// A request must not go to another zone without a shorter wait there, and the
// zone preference must not outweigh a long queue.
TEST(RouterTest, SameZoneWinsOnlyWhenWaitsAreClose) {
  auto servers = Servers(2);
  std::mt19937_64 random(1);
  for (const int queue : {0, 20}) {
    servers[0].queue_length = queue;
    affinity_router tested("suva");
    tested.Update(candidate_set::Make(servers));
    EXPECT_EQ(tested.Choose(5, {}, kStart, random)->id,
              queue == 0 ? "server-0" : "server-1");
  }
}

// Requests with a popular prefix must use the server that caches it, but must
// not all go there between two reports.
TEST(RouterTest, PopularPrefixOverflowsToOtherServers) {
  const std::uint64_t prefix = PromptPrefixHash(std::string(300, 'x') + "one");
  EXPECT_EQ(prefix, PromptPrefixHash(std::string(300, 'x') + "two"));
  auto servers = Servers(12);
  const std::size_t cached_index =
      candidate_set::Make(servers)->RingSuccessors(prefix, 1, {})[0];
  const std::string cached_id =
      candidate_set::Make(servers)->candidates()[cached_index].id;
  for (auto& server : servers) {
    if (server.id == cached_id) {
      server.prefix_digests = {prefix};
    }
  }
  affinity_router tested("suva");
  tested.Update(candidate_set::Make(servers));
  std::mt19937_64 random(3);
  std::map<std::string, int> sent;
  for (int i = 0; i < 48; ++i) {
    const auto choice = tested.Choose(prefix, {}, kStart, random);
    EXPECT_EQ(choice->cached_prefix, choice->id == cached_id);
    if (i == 0) {
      EXPECT_EQ(choice->id, cached_id);
    }
    ++sent[choice->id];
    tested.RecordSent(choice->id, kStart);
  }
  for (const auto& [id, count] : sent) {
    EXPECT_LE(count, 6) << id;  // 12 servers with 4 slots each for 48 requests.
  }
  EXPECT_GE(sent.size(), 8U);
  for (int i = 0; i < sent[cached_id]; ++i) {
    tested.RecordFinished(cached_id, kStart);
  }
  EXPECT_EQ(tested.Choose(prefix, {}, kStart, random)->id, cached_id);
}

// Routing that ignores slow servers or the requests since the last report
// leaves long queues: a quarter of the servers is slow, and reports come once a
// second.
TEST(RouterTest, WaitsAreShorterThanUnderRoundRobin) {
  const auto total_queued = [](router tested) {
    auto servers = Servers(16);
    std::mt19937_64 random(7);
    int queued = 0;
    std::map<std::string, int> load;
    for (int second = 0; second < 50; ++second) {
      const time_point now = kStart + std::chrono::seconds(second);
      for (std::size_t i = 0; i < servers.size(); ++i) {
        int& running = load[servers[i].id];
        running = std::max(0, running - (i % 4 == 0 ? 1 : 5));
        servers[i].free_slots = std::max(0, 4 - running);
        servers[i].queue_length = std::max(0, running - 4);
        servers[i].report_time = now;
        queued += servers[i].queue_length;
      }
      tested.Update(candidate_set::Make(servers));
      for (int i = 0; i < 48; ++i) {
        const auto choice = tested.Choose(random(), {}, now, random);
        ++load[choice->id];
        tested.RecordSent(choice->id, now);
      }
    }
    return queued;
  };
  const int queued_round_robin = total_queued(router(round_robin_router()));
  const int queued_affinity = total_queued(router(affinity_router("suva")));
  RecordProperty("queued_round_robin", queued_round_robin);
  RecordProperty("queued_affinity", queued_affinity);
  EXPECT_LT(queued_affinity * 2, queued_round_robin);
}

}  // namespace
}  // namespace cardamomyard
