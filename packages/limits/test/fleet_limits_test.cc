#include <gtest/gtest.h>

#include "test/fleet_simulation.h"

namespace cardamomyard {
namespace {

int Violations(simulation_settings settings,
               int seeds,
               int* admitted = nullptr,
               int* changes = nullptr) {
  int violations = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    fleet_simulation fleet(seed, settings);
    fleet.Run();
    violations += fleet.violations;
    if (fleet.violations > 0 && admitted != nullptr) {
      ADD_FAILURE() << "seed " << seed << ": " << fleet.violations;
    }
    if (admitted != nullptr) {
      *admitted += fleet.admitted_count;
      *changes += fleet.table_changes;
    }
  }
  return violations;
}

// Guards against any order of faults that admits more than rate and burst.
TEST(FleetLimitsTest, Rule07_NoWindowExceedsRateAndBurst) {
  int admitted = 0;
  int changes = 0;
  EXPECT_EQ(Violations({}, 200, &admitted, &changes), 0);
  EXPECT_GT(admitted, 200 * 500) << "the fleet hardly served";
  EXPECT_GT(changes, 200) << "the table hardly changed";
}

// The following guard against an oracle that cannot see a missing mechanism.
TEST(FleetLimitsTest, Rule07_OracleSeesIncreasesWithoutDelay) {
  simulation_settings off;
  off.majority_confirms = false;
  off.load = 10;
  EXPECT_EQ(Violations(off, 60), 0) << "the delay alone did not suffice";
  off.limiter.increase_delay = duration(0);
  EXPECT_GT(Violations(off, 60), 0);
}

TEST(FleetLimitsTest, Rule07_OracleSeesLoansThatAreNotDeducted) {
  simulation_settings off;
  off.limiter.deduct_loans = false;
  EXPECT_GT(Violations(off, 5), 0);
}

TEST(FleetLimitsTest, Rule07_OracleSeesLoansOutsideTheBurst) {
  simulation_settings off;
  off.limiter.count_loans_in_burst = false;
  EXPECT_GT(Violations(off, 20), 0);
}

TEST(FleetLimitsTest, Rule07_OracleSeesSharesUsedWithoutContact) {
  simulation_settings off;
  off.contact_counts = false;
  EXPECT_GT(Violations(off, 60), 0);
}

// Guards against wrongful refusals of callers that use one host only, which
// the equal split shows.
TEST(FleetLimitsTest, Rule07_CallersOnOneHostGetTheWholeRate) {
  simulation_settings calm;
  calm.faults = false;
  calm.only_first_host = true;
  calm.load = 0.7;
  fleet_simulation fleet(1, calm);
  fleet.Run();
  EXPECT_EQ(fleet.violations, 0);
  EXPECT_LE(fleet.wrongful, fleet.offered / 1000)
      << fleet.wrongful << " wrongful of " << fleet.offered;
  EXPECT_GT(fleet.naive_wrongful, fleet.offered / 10);
}

}  // namespace
}  // namespace cardamomyard
