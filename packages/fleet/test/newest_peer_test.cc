#include <gtest/gtest.h>

#include <string>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

load_digest Digest(const std::string& host,
                   std::int64_t configuration,
                   std::int64_t backends) {
  load_digest digest;
  digest.host = host;
  digest.address = "127.0.0.1:1";
  digest.incarnation = 1;
  digest.sequence = 1;
  digest.configuration_revision = configuration;
  digest.backend_revision = backends;
  return digest;
}

class newest_peer_test : public ::testing::Test {
 protected:
  void Hear(const load_digest& digest) {
    peers_.Receive(digest, host_address::Make("127.0.0.1", 1), clock_.Now());
  }

  std::string Choose(const inventory_revisions& own,
                     const std::string& failed = "") {
    const peer_state* peer =
        ChooseNewestPeer(peers_, own, failed, clock_.Now());
    return peer == nullptr ? "" : peer->host.name;
  }

  manual_clock clock_;
  peer_table peers_{"self"};
};

// A restarted host without contact to the store took the inventory of the first
// peer by name, also of one that had been cut off: withdrawn keys and servers
// that had left were in use again until it asked another peer.
TEST_F(newest_peer_test, Rule06_RestartedHostAsksThePeerThatKnowsMost) {
  Hear(Digest("a-cut-off", 10, 10));
  Hear(Digest("b-current", 20, 30));
  Hear(Digest("c-current", 20, 25));
  EXPECT_EQ(Choose({}), "b-current");
  EXPECT_EQ(Choose({20, 25}), "b-current");
  EXPECT_EQ(Choose({20, 30}), "");
}

TEST_F(newest_peer_test, APeerThatFailedIsAskedAfterTheOthers) {
  Hear(Digest("a", 10, 10));
  Hear(Digest("b", 20, 20));
  EXPECT_EQ(Choose({}, "b"), "a");
  EXPECT_EQ(Choose({10, 10}, "b"), "b");
}

TEST_F(newest_peer_test, SilentPeersAreNotAsked) {
  Hear(Digest("a", 10, 10));
  clock_.Advance(peers_.LivenessTimeout());
  EXPECT_EQ(Choose({}), "");
}

}  // namespace
}  // namespace cardamomyard
