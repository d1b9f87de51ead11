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
  backend_report report;
  report.id = "s1";
  report.deployment = "d";
  report.incarnation = incarnation;
  report.sequence = sequence;
  report.state = state;
  return report;
}

// A server that is silent, drains or leaves could receive new requests.
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

TEST(BackendViewTest, Rule11_ServersThatAnnouncedInAnAnswerAreNotUsable) {
  backend_view view(seconds(5));
  view.ApplyHeartbeat(Report(1, 1, backend_state::serving), kStart);
  EXPECT_TRUE(view.AnnounceLeaving("s1", 1, kStart));
  EXPECT_FALSE(view.AnnounceLeaving("s1", 1, kStart));
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
  view.ApplyHeartbeat(Report(1, 2, backend_state::serving), kStart);
  view.ApplyHostList({"s1"}, {}, kStart);
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
  view.ApplyHeartbeat(Report(2, 1, backend_state::serving), kStart);
  EXPECT_FALSE(view.UsableBackends(kStart)->empty());
}

// A delayed heartbeat could make a drained server usable again.
TEST(BackendViewTest, Rule11_OutdatedReportsAreIgnored) {
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

// A server that drains and loses its engine could be used again. The transition
// table that preceded the state chart allowed draining, down, serving.
TEST(BackendViewTest, Rule11_DrainIsFinalAlsoWhenTheEngineDies) {
  backend_view view(seconds(5));
  view.ApplyHeartbeat(Report(1, 1, backend_state::draining), kStart);
  EXPECT_TRUE(view.ApplyHeartbeat(Report(1, 2, backend_state::down), kStart));
  view.ApplyHeartbeat(Report(1, 3, backend_state::serving), kStart);
  EXPECT_TRUE(view.UsableBackends(kStart)->empty());
}

// A host list that lags behind could remove a server that has just joined.
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

// A lost host could be chosen as a watcher, or a digest of an old incarnation
// could be accepted.
TEST(HostViewTest, WatchersAreLiveAndPeersAreDistinct) {
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
