#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kUnitTime{20};

server_speeds::server Server(int number, std::int64_t started = 1) {
  return {"s" + std::to_string(number), started, "lm"};
}

/// Records \p samples answers of servers 0 to 11, of which every fourth takes
/// twice as long, with a scatter of a tenth.
void ObserveUneven(server_speeds& speeds, int samples, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::normal_distribution<double> scatter(1, 0.1);
  for (int i = 0; i < samples; ++i) {
    for (int server = 0; server < 12; ++server) {
      speeds.Observe(Server(server),
                     std::chrono::duration_cast<duration>(
                         kUnitTime * ((server % 4 == 0 ? 2.0 : 1.0) *
                                      std::max(0.2, scatter(random)))),
                     kStart);
    }
  }
  speeds.Refresh(kStart);
}

// Slow servers must be told apart from the others by a few answers.
TEST(server_speeds, FindsTheSlowServers) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    server_speeds speeds;
    ObserveUneven(speeds, 20, seed);
    for (int server = 0; server < 12; ++server) {
      const double speed = speeds.Of(Server(server).id, 1);
      if (server % 4 == 0) {
        EXPECT_NEAR(speed, 0.5, 0.12) << seed;
      } else {
        EXPECT_EQ(speed, 1) << seed;
      }
    }
  }
}

// A single answer that took very long must not make a sound server slow.
TEST(server_speeds, OneOddAnswerChangesNothing) {
  server_speeds speeds;
  for (int i = 0; i < 20; ++i) {
    for (int server = 0; server < 5; ++server) {
      speeds.Observe(Server(server), kUnitTime, kStart);
    }
  }
  speeds.Observe(Server(0), std::chrono::seconds(30), kStart);
  speeds.Refresh(kStart);
  EXPECT_EQ(speeds.Of("s0", 1), 1);
}

// What was seen of an instance says nothing of the next one under its id.
TEST(server_speeds, ARestartedServerStartsAtTheMedian) {
  server_speeds speeds;
  ObserveUneven(speeds, 20, 1);
  speeds.Observe(Server(0, 2), kUnitTime, kStart);
  speeds.Refresh(kStart);
  EXPECT_EQ(speeds.Of("s0", 1), 1);
  EXPECT_EQ(speeds.Of("s0", 2), 1);
}

// A host must know slow servers that it has not used, from its peers, until
// they have been silent for a while.
TEST(server_speeds, PeersReportsCountUntilTheyAreOld) {
  server_speeds seen;
  ObserveUneven(seen, 20, 1);
  server_speeds other;
  other.SetReports("peer", seen.Reports(64), kStart);
  other.SetReports("peer", {}, kStart);
  other.Refresh(kStart);
  EXPECT_NEAR(other.Of("s0", 1), 0.5, 0.15);
  EXPECT_EQ(other.Of("s1", 1), 1);
  other.Refresh(kStart + std::chrono::minutes(1));
  EXPECT_EQ(other.Of("s0", 1), 1);
}

// A free slot of a slow server is worth less, so it gets fewer requests.
TEST(online_placement, SlowServersGetTheirShareBySpeed) {
  backend_pool pool;
  std::vector<usable_backend> servers(2);
  for (int i = 0; i < 2; ++i) {
    servers[i].entry.id = "s" + std::to_string(i);
    servers[i].entry.service = "lm";
    servers[i].entry.slots = 8;
  }
  pool.SetBackends(servers);
  pool.SetSpeeds(
      [](const backend_entry& entry) { return entry.id == "s0" ? 0.5 : 1.0; });
  online_placement placement("h0", "", 1);
  for (const bool evenly : {false, true}) {
    if (evenly) {
      placement.SetReportAge(milliseconds(0));
    }
    std::vector<std::string> placed;
    for (int i = 0; i < 9; ++i) {
      const auto chosen =
          placement.Choose(pool, "lm", {}, milliseconds(0), kStart);
      ASSERT_TRUE(std::holds_alternative<chosen_backend>(chosen));
      placed.push_back(std::get<chosen_backend>(chosen).server.entry.id);
      pool.RecordStart(placed.back(), work_class::online);
    }
    EXPECT_NEAR(std::count(placed.begin(), placed.end(), "s0"), 3, 1);
    for (const std::string& id : placed) {
      pool.RecordEnd(id, work_class::online);
    }
  }
}

}  // namespace
}  // namespace cardamomyard
