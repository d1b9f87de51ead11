#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cardamomyard/membership.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr const char* kAddress = "10.0.0.1:80";

backend_instance Instance(std::int64_t started,
                          std::uint64_t revision,
                          const std::string& address = kAddress) {
  return {"s1", address, started, revision};
}

bool NoneIsListed(const std::string& /*id*/) {
  return false;
}

bool AllAreListed(const std::string& /*id*/) {
  return true;
}

class departures : public ::testing::Test {
 protected:
  manual_clock clock_;
  departure_registry registry_;
};

TEST_F(departures, Rule11_AnAnnouncementHoldsForOlderAndLaterRecords) {
  EXPECT_EQ(registry_.StateOf(Instance(100, 5)), departure_state::none);
  EXPECT_TRUE(registry_.Announce(Instance(100, 5), clock_.Now()));
  EXPECT_FALSE(registry_.Announce(Instance(100, 5), clock_.Now()));
  for (const std::uint64_t revision : {1U, 5U, 9U}) {
    registry_.EndReplaced(Instance(100, revision), AllAreListed);
    EXPECT_EQ(registry_.StateOf(Instance(100, revision)),
              departure_state::announced);
  }
  // An outdated list may still name the instance before it.
  registry_.EndReplaced(Instance(50, 3), AllAreListed);
  EXPECT_EQ(registry_.StateOf(Instance(50, 3)), departure_state::announced);
  EXPECT_EQ(registry_.StateOf(Instance(100, 9)), departure_state::announced);
}

// A wall clock that was set back gives the new instance the smaller time.
TEST_F(departures, ANewInstanceEndsTheAnnouncement) {
  for (const std::int64_t started : {200, 40}) {
    registry_.Announce(Instance(100, 5), clock_.Now());
    registry_.EndReplaced(Instance(started, 6), AllAreListed);
    EXPECT_EQ(registry_.StateOf(Instance(started, 6)), departure_state::none);
    EXPECT_EQ(registry_.StateOf(Instance(100, 5)), departure_state::none);
  }
}

TEST_F(departures, WithoutStartTimesTheAddressTellsInstancesApart) {
  registry_.Announce(Instance(0, 5), clock_.Now());
  EXPECT_EQ(registry_.StateOf(Instance(0, 9)), departure_state::announced);
  EXPECT_EQ(registry_.StateOf(Instance(0, 9, "10.0.0.2:80")),
            departure_state::none);
  EXPECT_EQ(registry_.StateOf(Instance(0, 4, "10.0.0.2:80")),
            departure_state::announced);
}

TEST_F(departures, AnotherServerAtTheAddressEndsItOnlyOnceTheEntryIsGone) {
  registry_.Announce(Instance(100, 5), clock_.Now());
  const backend_instance other{"s2", kAddress, 300, 8};
  EXPECT_EQ(registry_.StateOf(other), departure_state::none);
  registry_.EndReplaced(other, AllAreListed);
  EXPECT_EQ(registry_.StateOf(Instance(100, 5)), departure_state::announced);
  // Its entry may be older than that of the server that left.
  registry_.EndReplaced({"s0", kAddress, 10, 2}, NoneIsListed);
  EXPECT_EQ(registry_.StateOf(Instance(100, 5)), departure_state::announced);
  registry_.EndReplaced(other, NoneIsListed);
  EXPECT_EQ(registry_.StateOf(Instance(100, 5)), departure_state::none);
}

TEST_F(departures, OneHostCannotMakeAllServersUnusable) {
  std::vector<departure> all;
  all.reserve(100);
  for (int number = 0; number < 100; ++number) {
    all.push_back(
        {{"s" + std::to_string(number), kAddress, 100, 5}, milliseconds(0)});
  }
  EXPECT_EQ(registry_.SetClaims("h1", all).size(), 100U);
  EXPECT_TRUE(registry_.SetClaims("h1", all).empty());
  for (const departure& claim : all) {
    EXPECT_EQ(registry_.StateOf(claim.instance), departure_state::claimed);
  }
  EXPECT_EQ(registry_.SetClaims("h2", {all[1]}).size(), 1U);
  EXPECT_EQ(registry_.StateOf(all[1].instance), departure_state::confirmed);
  EXPECT_EQ(registry_.StateOf(all[2].instance), departure_state::claimed);
  EXPECT_TRUE(registry_.Announced(clock_.Now()).empty());
}

TEST_F(departures, AHostThatRestartsTakesItsWordBack) {
  const departure claim{Instance(100, 5), milliseconds(0)};
  registry_.SetClaims("h1", {claim});
  registry_.SetClaims("h1", {});
  EXPECT_EQ(registry_.StateOf(claim.instance), departure_state::none);
}

TEST_F(departures, HostsThatAreGoneSayNothing) {
  const departure claim{Instance(100, 5), milliseconds(0)};
  registry_.SetClaims("h1", {claim});
  registry_.SetClaims("h2", {claim});
  registry_.KeepClaimsOf([](const std::string& host) { return host == "h2"; });
  EXPECT_EQ(registry_.StateOf(claim.instance), departure_state::claimed);
}

TEST_F(departures, AnUnprovedAnswerCountsAsOneHost) {
  const departure claim{Instance(100, 5), milliseconds(0)};
  EXPECT_TRUE(registry_.AddClaim("self", claim));
  EXPECT_FALSE(registry_.AddClaim("self", claim));
  EXPECT_EQ(registry_.StateOf(claim.instance), departure_state::claimed);
  registry_.SetClaims("h1", {claim});
  EXPECT_EQ(registry_.StateOf(claim.instance), departure_state::confirmed);
  // The claims say nothing of the instance that replaced it.
  EXPECT_EQ(registry_.StateOf(Instance(200, 6)), departure_state::none);
}

TEST_F(departures, TheAgeIsTold) {
  registry_.Announce(Instance(100, 5), clock_.Now());
  clock_.Advance(milliseconds(40));
  const auto announced = registry_.Announced(clock_.Now());
  ASSERT_EQ(announced.size(), 1U);
  EXPECT_EQ(announced[0], (departure{Instance(100, 5), milliseconds(40)}));
}

TEST_F(departures, ServersThatAreGoneAreForgottenBeyondALimit) {
  const auto is_listed = [](const std::string& id) { return id == "s0"; };
  for (std::size_t number = 0; number < departure_registry::kMaxUnlisted + 5;
       ++number) {
    const std::string name = std::to_string(number);
    registry_.Announce({"s" + name, "a" + name, 100, 5}, clock_.Now());
    clock_.Advance(milliseconds(1));
  }
  registry_.EndReplaced({"x", "ax", 1, 1}, is_listed);
  EXPECT_EQ(registry_.Announced(clock_.Now()).size(),
            departure_registry::kMaxUnlisted);
  EXPECT_EQ(registry_.StateOf({"s0", "a0", 100, 5}),
            departure_state::announced);
  EXPECT_EQ(registry_.StateOf({"s1", "a1", 100, 5}), departure_state::none);
}

}  // namespace
}  // namespace cardamomyard
