#include <gtest/gtest.h>

#include "cardamomyard/jobs.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

// Items of accepted jobs were given up without a run, as their worker had an
// older configuration than the gateway that accepted them.
TEST(RouteState, RouteIsRemovedOnlyByAConfigurationNewerThanTheJob) {
  const time_point seen{std::chrono::hours(5)};
  EXPECT_EQ(StateOfRoute(false, std::nullopt, seen), route_state::unknown);
  for (int ago = 1; ago < 10'000; ago *= 3) {
    EXPECT_EQ(StateOfRoute(false, seen - milliseconds(ago), seen),
              route_state::unknown)
        << ago;
    EXPECT_EQ(StateOfRoute(false, seen + milliseconds(ago), seen),
              route_state::removed)
        << ago;
    EXPECT_EQ(StateOfRoute(true, seen + milliseconds(ago), seen),
              route_state::open);
  }
  EXPECT_EQ(StateOfRoute(true, std::nullopt, seen), route_state::open);
}

}  // namespace
}  // namespace cardamomyard
