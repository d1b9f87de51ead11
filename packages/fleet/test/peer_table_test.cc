#include <gtest/gtest.h>

#include <string>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

class peer_table_test : public ::testing::Test {
 protected:
  /// Delivers a digest with this sequence number from each peer.
  void ReceiveFromAll(int peers, std::int64_t sequence, time_point now) {
    for (int i = 0; i < peers; ++i) {
      load_digest digest;
      digest.host = "host-" + std::to_string(i);
      digest.address = "10.0.0.1:" + std::to_string(1000 + i);
      digest.incarnation = 1;
      digest.sequence = sequence;
      ASSERT_TRUE(
          table_.Receive(digest, host_address::Make("10.0.0.1", 1), now));
    }
  }

  peer_table table_{"self"};
};

// While a paused host is not detected, its share of every quota stays unused
// and its batch jobs wait. In a small fleet it times out within a second.
TEST_F(peer_table_test, PausedHostOfSmallFleetTimesOutWithinASecond) {
  ReceiveFromAll(8, 1, kStart);
  EXPECT_EQ(
      table_.LivePeers(host_role::gateway, kStart + milliseconds(800)).size(),
      8U);
  EXPECT_EQ(table_.TakeNewlyTimedOut(kStart + milliseconds(1000)).size(), 8U);
  EXPECT_TRUE(table_.TakeNewlyTimedOut(kStart + milliseconds(1100)).empty());
}

// With many peers a host sends each of them a digest more rarely. With a fixed
// timeout the hosts would take each other for lost between two digests.
TEST_F(peer_table_test, HostsOfLargeFleetsStayLiveBetweenDigests) {
  for (const int peers : {100, 270, 400, 1000}) {
    ReceiveFromAll(peers, peers, kStart);
    // Two digests in a row are lost.
    const time_point last = kStart + 3 * table_.DigestInterval();
    EXPECT_EQ(table_.LivePeers(host_role::gateway, last).size(),
              static_cast<std::size_t>(peers));
    EXPECT_TRUE(table_.TakeNewlyTimedOut(last).empty());
    table_.RemoveLost(last);
    EXPECT_EQ(table_.peers().size(), static_cast<std::size_t>(peers));
  }
}

// A host takes its incarnation from its wall clock. If the clock was set back
// before a restart, peers could discard all its digests as stale.
TEST_F(peer_table_test, RestartAfterAClockStepBackIsAccepted) {
  load_digest digest;
  digest.host = "host-0";
  digest.address = "10.0.0.1:1";
  digest.incarnation = 5000;
  digest.sequence = 9;
  const host_address from = host_address::Make("10.0.0.1", 1);
  ASSERT_TRUE(table_.Receive(digest, from, kStart));
  digest.incarnation = 1000;
  digest.sequence = 1;
  // It may be a late datagram of the earlier run.
  EXPECT_FALSE(table_.Receive(digest, from, kStart + milliseconds(200)));
  const time_point later = kStart + milliseconds(1000);
  EXPECT_TRUE(table_.Receive(digest, from, later));
  EXPECT_EQ(table_.LivePeers(host_role::gateway, later).size(), 1U);
  digest.sequence = 2;
  EXPECT_TRUE(table_.Receive(digest, from, later + milliseconds(100)));
}

// At a fixed interval the cost of digests would grow with the square of the
// number of hosts.
TEST_F(peer_table_test, DatagramRateIsBounded) {
  ReceiveFromAll(1000, 1, kStart);
  EXPECT_GE(table_.DigestInterval() * 300, std::chrono::seconds(1000));
}

}  // namespace
}  // namespace cardamomyard
