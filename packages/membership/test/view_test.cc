#include <gtest/gtest.h>

#include <algorithm>

#include "cardamomyard/membership.h"

namespace cardamomyard {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};

backend_report Report(std::uint64_t incarnation,
                      std::uint64_t sequence,
                      backend_state state) {
  backend_report r;
  r.id = "s1";
  r.deployment = "d";
  r.incarnation = incarnation;
  r.sequence = sequence;
  r.state = state;
  return r;
}

// Guards against work for a server that is silent, drains or leaves.
TEST(BackendViewTest, Rule11_LeavingServersAreNotUsable) {
  backend_view view(seconds(5));
  view.ApplyHeartbeat(Report(1, 1, backend_state::serving), kStart);
  EXPECT_EQ(view.UsableBackends(kStart)->at("d").size(), 1U);
  EXPECT_TRUE(view.UsableBackends(kStart + seconds(3))->empty());
  view.ApplyHostList({}, {"s1"}, kStart);
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
  view.ApplyHostList({"s1"}, {}, kStart);
  EXPECT_FALSE(view.UsableBackends(kStart)->empty());
  view.ApplyHeartbeat(Report(1, 2, backend_state::draining), kStart);
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
}

// Guards against a late heartbeat that revives a server.
TEST(BackendViewTest, Rule11_OldReportsReviveNothing) {
  backend_view view(seconds(5));
  view.ApplyHeartbeat(Report(2, 2, backend_state::draining), kStart);
  EXPECT_FALSE(
      view.ApplyHeartbeat(Report(1, 9, backend_state::serving), kStart));
  EXPECT_FALSE(
      view.ApplyHeartbeat(Report(2, 1, backend_state::serving), kStart));
  EXPECT_FALSE(
      view.ApplyHeartbeat(Report(2, 3, backend_state::serving), kStart));
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
  EXPECT_TRUE(
      view.ApplyHeartbeat(Report(3, 1, backend_state::serving), kStart));
  EXPECT_FALSE(view.UsableBackends(kStart)->empty());
}

// Guards against a server that drains, loses its engine and is then used
// again; the table before the chart allowed draining, down, serving.
TEST(BackendViewTest, Rule11_DrainIsFinalAlsoWhenTheEngineDies) {
  backend_view view(seconds(5));
  view.ApplyHeartbeat(Report(1, 1, backend_state::draining), kStart);
  EXPECT_TRUE(view.ApplyHeartbeat(Report(1, 2, backend_state::down), kStart));
  view.ApplyHeartbeat(Report(1, 3, backend_state::serving), kStart);
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
}

// Guards against a lagging list that removes a server which has just joined.
TEST(BackendViewTest, MissingFromTheListRemovesAfterItsLag) {
  backend_view view(seconds(5));
  view.ApplyHeartbeat(Report(1, 1, backend_state::serving), kStart);
  view.ApplyHostList({}, {}, kStart + seconds(4));
  view.ApplyHeartbeat(Report(1, 2, backend_state::serving),
                      kStart + seconds(4));
  EXPECT_FALSE(view.UsableBackends(kStart + seconds(4))->empty());
  view.ApplyHostList({}, {}, kStart + seconds(6));
  EXPECT_TRUE(view.UsableBackends(kStart + seconds(6))->empty());
}

// Guards against lost hosts as watchers and digests of an old incarnation.
TEST(HostViewTest, WatchersAreLiveAndPeersDiffer) {
  host_view view("h0", 7);
  for (const char* id : {"h0", "h1", "h2", "h3", "h4"}) {
    view.AddKnownHost(id, "127.0.0.1:1");
    view.RecordDigest(id, "127.0.0.1:1", 2, kStart);
  }
  EXPECT_EQ(view.RandomPeers(9).size(), 4U);
  EXPECT_FALSE(view.RecordDigest("h1", "", 1, kStart + seconds(20)));
  view.RecordDigest("h2", "", 3, kStart + seconds(20));
  EXPECT_EQ(view.LostHosts(seconds(10), kStart + seconds(20)).size(), 3U);
  std::vector<std::string> watchers =
      view.ConfigWatchers(seconds(10), kStart + seconds(20));
  std::ranges::sort(watchers);
  EXPECT_EQ(watchers, (std::vector<std::string>{"h0", "h2"}));
}

}  // namespace
}  // namespace cardamomyard
