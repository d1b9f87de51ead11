#include <gtest/gtest.h>

#include <string>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

const time_point kStart{std::chrono::hours(1)};

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
  EXPECT_EQ(table_.NewlySilent(kStart + milliseconds(1000)).size(), 8U);
  EXPECT_TRUE(table_.NewlySilent(kStart + milliseconds(1100)).empty());
}

// Guards against hosts that take each other for silent between two digests:
// with many peers a host sends each of them a digest more rarely.
TEST_F(peer_table_test, HostsOfLargeFleetsStayLiveBetweenDigests) {
  for (const int peers : {100, 270, 400, 1000}) {
    HearAll(peers, peers, kStart);
    // Two digests in a row are lost.
    const time_point last = kStart + 3 * table_.Interval();
    EXPECT_EQ(table_.LivePeers(host_role::gateway, last).size(),
              static_cast<std::size_t>(peers));
    EXPECT_TRUE(table_.NewlySilent(last).empty());
    table_.ForgetLost(last);
    EXPECT_EQ(table_.peers().size(), static_cast<std::size_t>(peers));
  }
}

// Guards against a cost of digests that grows with the square of the hosts.
TEST_F(peer_table_test, DatagramsASecondAreBounded) {
  HearAll(1000, 1, kStart);
  EXPECT_GE(table_.Interval() * 300, std::chrono::seconds(1000));
}

}  // namespace
}  // namespace cardamomyard
