// Batch jobs on backend servers of one slot.
#include <gtest/gtest.h>

#include <string>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

constexpr int kItems = 6;

class small_servers : public platform_fixture {
 protected:
  small_servers() : platform_fixture({.engines = 2, .slots = 1}) {}
};

TEST_F(small_servers, Rule01_ItemsOfAllWorkersRun) {
  const host gateway = StartGateway("g1");
  const host first = StartWorker("w1", gateway);
  const host second = StartWorker("w2", gateway);
  for (const std::string job : {"j1", "j2"}) {
    EXPECT_EQ(Submit(gateway, job, kItems, job).status, 202);
  }
  const host third = StartWorker("w3", gateway);
  for (const std::string job : {"j3", "j4"}) {
    EXPECT_EQ(Submit(gateway, job, kItems, job).status, 202);
  }
  for (const std::string job : {"j1", "j2", "j3", "j4"}) {
    EXPECT_TRUE(AllListed(gateway, job, kItems))
        << job << Log("w1") << Log("w2") << Log("w3");
  }
}

}  // namespace
}  // namespace cardamomyard
