#include <gtest/gtest.h>

#include <memory>
#include <thread>
#include <vector>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
// Longer than a client inside its limits pauses in a body.
constexpr std::chrono::milliseconds kStalled{300};

class server_resources_test : public ::testing::Test {
 protected:
  struct client {
    explicit client(const std::shared_ptr<server_resources>& resources,
                    client_kind kind = client_kind::callers)
        : slot(*resources->OpenConnection(kind)),
          holding(slot, [this] { closed = true; }) {}
    bool closed = false;
    connection_slot slot;
    connection_holding holding;
  };

  std::shared_ptr<server_resources> resources_ =
      server_resources::Make({100 * kMegabyte, 0});
};

// A small request must find memory when large bodies have taken theirs.
TEST_F(server_resources_test, LargeBodiesLeaveRoomForSmallRequests) {
  client large(resources_);
  while (large.holding.Take(kMegabyte)) {
  }
  client small(resources_);
  EXPECT_TRUE(small.holding.Take(server_resources::kSmallHolding));
}

// Whatever ends a connection, its memory must be free afterwards.
TEST_F(server_resources_test, AnEndedConnectionHoldsNothing) {
  {
    client one(resources_);
    EXPECT_TRUE(one.holding.Take(5 * kMegabyte));
    one.holding.ForceTake(500 * kMegabyte);
    one.holding.GiveBack(kMegabyte);
    EXPECT_EQ(resources_->held(), 504 * kMegabyte);
  }
  EXPECT_EQ(resources_->held(), 0U);
}

// The one that holds most without progress is closed, never one that is
// handled.
TEST_F(server_resources_test, ClosesTheLargestStalledBody) {
  client small(resources_);
  client large(resources_);
  client handled(resources_);
  client asking(resources_);
  for (client* stalled : {&small, &large, &handled, &asking}) {
    stalled->holding.BeginBodyRead();
  }
  handled.holding.EndBodyRead(1);
  EXPECT_TRUE(small.holding.Take(kMegabyte));
  EXPECT_TRUE(large.holding.Take(2 * kMegabyte));
  EXPECT_TRUE(handled.holding.Take(3 * kMegabyte));
  EXPECT_TRUE(asking.holding.Take(4 * kMegabyte));
  resources_->CloseForMemory(asking.holding);
  EXPECT_FALSE(large.closed);
  std::this_thread::sleep_for(kStalled);
  resources_->CloseForMemory(asking.holding);
  EXPECT_TRUE(large.closed);
  EXPECT_FALSE(small.closed || handled.closed || asking.closed);
}

// A request that completes before its connection is closed must be handled.
TEST_F(server_resources_test, AConnectionThatBecameUsefulStays) {
  client one(resources_);
  one.holding.Enter(connection_stage::idle);
  EXPECT_FALSE(one.holding.ConfirmClose(true));
  EXPECT_TRUE(one.holding.ConfirmClose(false));
  one.holding.Enter(connection_stage::handling);
  EXPECT_FALSE(one.holding.ConfirmClose(false));
}

// Callers must not take the connections of peers and load balancers.
TEST_F(server_resources_test, CallersLeaveConnectionsToOthers) {
  std::vector<std::unique_ptr<client>> busy;
  while (busy.size() < resources_->max_connections(client_kind::callers)) {
    busy.push_back(std::make_unique<client>(resources_));
    busy.back()->holding.Enter(connection_stage::handling);
  }
  EXPECT_FALSE(resources_->OpenConnection(client_kind::callers));
  EXPECT_TRUE(resources_->OpenConnection(client_kind::others));
  busy.front()->holding.Enter(connection_stage::idle);
  EXPECT_TRUE(resources_->OpenConnection(client_kind::callers));
  EXPECT_TRUE(busy.front()->closed);
}

}  // namespace
}  // namespace cardamomyard
