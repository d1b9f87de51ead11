#include <gtest/gtest.h>

#include <string>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

class peer_table_test : public ::testing::Test {
 protected:
  /// All peers send their digest with this sequence number at once.
  void HearAll(int peers, std::int64_t sequence, time_point now) {
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

// Guards against a host of a small fleet that is noticed late when it is
// paused: its part of every quota and its batch jobs wait for that.
TEST_F(peer_table_test, PausedHostOfSmallFleetIsSilentWithinASecond) {
  HearAll(8, 1, kStart);
  EXPECT_EQ(
      table_.LivePeers(host_role::gateway, kStart + milliseconds(800)).size(),
      8U);
  EXPECT_EQ(table_.TakeNewlyTimedOut(kStart + milliseconds(1000)).size(), 8U);
  EXPECT_TRUE(table_.TakeNewlyTimedOut(kStart + milliseconds(1100)).empty());
}

// Guards against hosts that take each other for silent between two digests:
// with many peers a host sends each of them a digest more rarely.
TEST_F(peer_table_test, HostsOfLargeFleetsStayLiveBetweenDigests) {
  for (const int peers : {100, 270, 400, 1000}) {
    HearAll(peers, peers, kStart);
    // Two digests in a row are lost.
    const time_point last = kStart + 3 * table_.DigestInterval();
    EXPECT_EQ(table_.LivePeers(host_role::gateway, last).size(),
              static_cast<std::size_t>(peers));
    EXPECT_TRUE(table_.TakeNewlyTimedOut(last).empty());
    table_.RemoveLost(last);
    EXPECT_EQ(table_.peers().size(), static_cast<std::size_t>(peers));
  }
}

// Guards against a host that nobody hears any more because its wall clock, from
// which it takes its incarnation, was set back before it started again.
TEST_F(peer_table_test, RestartAfterAClockStepBackIsHeard) {
  load_digest digest;
  digest.host = "host-0";
  digest.address = "10.0.0.1:1";
  digest.incarnation = 5000;
  digest.sequence = 9;
  const host_address from = host_address::Make("10.0.0.1", 1);
  ASSERT_TRUE(table_.Receive(digest, from, kStart));
  digest.incarnation = 1000;
  digest.sequence = 1;
  // It may be a datagram of the run before.
  EXPECT_FALSE(table_.Receive(digest, from, kStart + milliseconds(200)));
  const time_point later = kStart + milliseconds(1000);
  EXPECT_TRUE(table_.Receive(digest, from, later));
  EXPECT_EQ(table_.LivePeers(host_role::gateway, later).size(), 1U);
  digest.sequence = 2;
  EXPECT_TRUE(table_.Receive(digest, from, later + milliseconds(100)));
}

// Guards against a cost of digests that grows with the square of the hosts.
TEST_F(peer_table_test, DatagramsASecondAreBounded) {
  HearAll(1000, 1, kStart);
  EXPECT_GE(table_.DigestInterval() * 300, std::chrono::seconds(1000));
}

}  // namespace
}  // namespace cardamomyard
