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

// The most that two hosts admit at one moment: a lender that has lent its
// whole burst of 100, and the borrower just before the loan expires.
int AdmittedAtOnce(limiter_settings settings) {
  const share_table table{1, {"host-0"}};
  const auto accounts = std::make_shared<const limits_snapshot>(
      limits_snapshot{{"account", {100, 100}}});
  time_point now{std::chrono::hours(1)};
  account_limiter lender("host-0", settings);
  account_limiter borrower("host-1", settings);
  for (account_limiter* l : {&lender, &borrower}) {
    l->SetTable(table, table_origin::created, now);
    l->SetContact(time_point::max(), now);
    l->SetAccounts(1, accounts, now);
  }
  const loan granted = lender.Lend("account", 100, 0, now);
  EXPECT_EQ(granted.tokens, 100);
  borrower.Credit("account", granted, now, now);
  now += granted.valid_for - std::chrono::milliseconds(1);
  int count = 0;
  for (account_limiter* l : {&lender, &borrower}) {
    while (std::holds_alternative<admitted>(l->Admit("account", now))) {
      ++count;
    }
  }
  now += std::chrono::milliseconds(1);
  borrower.Credit("account", granted, now - granted.valid_for, now);
  EXPECT_FALSE(
      std::holds_alternative<admitted>(borrower.Admit("account", now)));
  return count;
}

// Guards against a burst that is used twice, as a loan and as its refill.
TEST(FleetLimitsTest, Rule07_LoansKeepTheirRoomInTheBurst) {
  EXPECT_EQ(AdmittedAtOnce({}), 100);
  limiter_settings off;
  off.count_loans_in_burst = false;
  EXPECT_GT(AdmittedAtOnce(off), 100);
}

TEST(FleetLimitsTest, Rule07_OracleSeesSharesUsedWithoutContact) {
  simulation_settings off;
  off.contact_counts = false;
  EXPECT_GT(Violations(off, 60), 0);
}

fleet_simulation RunCalm(double load, double paced, bool outage) {
  simulation_settings calm;
  calm.faults = false;
  calm.only_first_host = true;
  calm.load = load;
  calm.paced = paced;
  calm.store_goes_down = outage;
  if (outage) {
    calm.length = std::chrono::hours(1);
  }
  fleet_simulation fleet(1, calm);
  fleet.Run();
  EXPECT_EQ(fleet.violations, 0);
  return fleet;
}

// Guards against wrongful refusals of callers that use one host only; the
// equal split shows that the load is a hard one.
TEST(FleetLimitsTest, Rule07_CallersOnOneHostGetTheirRate) {
  for (const double load : {0.7, 2.0}) {
    const fleet_simulation fleet = RunCalm(load, 0.95, false);
    EXPECT_LE(fleet.wrongful, fleet.offered / 1000)
        << fleet.wrongful << " wrongful of " << fleet.offered;
    EXPECT_GT(fleet.naive_wrongful, fleet.offered / 10);
  }
}

// Guards against a loss for callers that use the last token of rate and burst:
// room that loans hold, or loans that expire unused.
TEST(FleetLimitsTest, Rule07_CallersAtTheEdgeOfTheirRateLoseLittle) {
  for (const double load : {0.7, 2.0}) {
    const fleet_simulation fleet = RunCalm(load, 1, false);
    EXPECT_LE(fleet.wrongful, fleet.offered / 1000)
        << fleet.wrongful << " wrongful of " << fleet.offered;
  }
}

// Guards against traffic that stops when the store is away for an hour.
TEST(FleetLimitsTest, Rule07_AnHourWithoutTheStoreRefusesNobody) {
  const fleet_simulation fleet = RunCalm(0.7, 0.95, true);
  EXPECT_LE(fleet.wrongful, fleet.offered / 1000)
      << fleet.wrongful << " wrongful of " << fleet.offered;
}

}  // namespace
}  // namespace cardamomyard
