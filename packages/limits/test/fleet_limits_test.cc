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

// In some order of faults the hosts could together admit more than rate and
// burst.
TEST(FleetLimitsTest, Rule07_NoWindowExceedsRateAndBurst) {
  int admitted = 0;
  int changes = 0;
  EXPECT_EQ(Violations({}, 200, &admitted, &changes), 0);
  EXPECT_GT(admitted, 200 * 500) << "the fleet admitted too few requests";
  EXPECT_GT(changes, 200) << "the share table changed too rarely";
}

// An oracle that cannot see the lack of a mechanism would let the test above
// pass for nothing. Each Oracle test switches mechanisms off and expects
// violations.
TEST(FleetLimitsTest, Rule07_OracleSeesIncreasesWithoutDelay) {
  simulation_settings weakened;
  weakened.majority_confirms = false;
  weakened.load_factor = 10;
  EXPECT_EQ(Violations(weakened, 60), 0)
      << "the increase delay alone did not prevent violations";
  weakened.limiter.increase_delay = duration(0);
  EXPECT_GT(Violations(weakened, 60), 0);
}

TEST(FleetLimitsTest, Rule07_OracleSeesLoansThatAreNotDeducted) {
  simulation_settings weakened;
  weakened.limiter.deduct_loans = false;
  EXPECT_GT(Violations(weakened, 5), 0);
}

// Returns how many requests two hosts admit at one moment: a lender that has
// lent its whole burst of 100, and the borrower just before the loan expires.
int AdmittedAtOnce(limiter_settings settings) {
  const share_table table{1, {"host-0"}};
  const auto accounts = std::make_shared<const limits_snapshot>(
      limits_snapshot{{"account", {100, 100}}});
  time_point now{std::chrono::hours(1)};
  account_limiter lender("host-0", settings);
  account_limiter borrower("host-1", settings);
  for (account_limiter* limiter : {&lender, &borrower}) {
    limiter->SetTable(table, table_origin::created, now);
    limiter->SetContact(time_point::max(), now);
    limiter->SetAccounts(1, accounts, now);
  }
  const loan granted = lender.Lend("account", 100, 0, now);
  EXPECT_EQ(granted.tokens, 100);
  borrower.Credit("account", granted, now, now);
  now += granted.valid_for - std::chrono::milliseconds(1);
  int count = 0;
  for (account_limiter* limiter : {&lender, &borrower}) {
    while (std::holds_alternative<admitted>(limiter->Admit("account", now))) {
      ++count;
    }
  }
  now += std::chrono::milliseconds(1);
  borrower.Credit("account", granted, now - granted.valid_for, now);
  EXPECT_FALSE(
      std::holds_alternative<admitted>(borrower.Admit("account", now)));
  return count;
}

// A lender whose bucket refills while its loan is outstanding would let the
// burst be used twice.
TEST(FleetLimitsTest, Rule07_LoansCountAgainstTheLendersBurst) {
  EXPECT_EQ(AdmittedAtOnce({}), 100);
  limiter_settings weakened;
  weakened.count_loans_in_burst = false;
  EXPECT_GT(AdmittedAtOnce(weakened), 100);
}

TEST(FleetLimitsTest, Rule07_OracleSeesSharesUsedWithoutContact) {
  simulation_settings weakened;
  weakened.check_contact = false;
  EXPECT_GT(Violations(weakened, 60), 0);
}

fleet_simulation RunWithoutFaults(double load_factor,
                                  double paced_fraction,
                                  bool outage) {
  simulation_settings settings;
  settings.faults = false;
  settings.only_first_host = true;
  settings.load_factor = load_factor;
  settings.paced_fraction = paced_fraction;
  settings.store_outage = outage;
  if (outage) {
    settings.length = std::chrono::hours(1);
  }
  fleet_simulation fleet(1, settings);
  fleet.Run();
  EXPECT_EQ(fleet.violations, 0);
  return fleet;
}

// Callers that use one host only could be refused although their account is
// within its limits. The refusals by an equal split show that the load is hard.
TEST(FleetLimitsTest, Rule07_CallersOnOneHostGetTheirRate) {
  for (const double load_factor : {0.7, 2.0}) {
    const fleet_simulation fleet = RunWithoutFaults(load_factor, 0.95, false);
    EXPECT_LE(fleet.wrongful_refusals, fleet.offered / 1000)
        << fleet.wrongful_refusals << " wrongful refusals of " << fleet.offered;
    EXPECT_GT(fleet.naive_wrongful_refusals, fleet.offered / 10);
  }
}

// Callers that use the full rate and burst could lose tokens, either to loans
// that keep a bucket from refilling or to loans that expire unused.
TEST(FleetLimitsTest, Rule07_CallersAtTheEdgeOfTheirRateLoseLittle) {
  for (const double load_factor : {0.7, 2.0}) {
    const fleet_simulation fleet = RunWithoutFaults(load_factor, 1, false);
    EXPECT_LE(fleet.wrongful_refusals, fleet.offered / 1000)
        << fleet.wrongful_refusals << " wrongful refusals of " << fleet.offered;
  }
}

// Hosts could stop admitting requests while the store is down for an hour.
TEST(FleetLimitsTest, Rule07_HourLongStoreOutageKeepsAdmitting) {
  const fleet_simulation fleet = RunWithoutFaults(0.7, 0.95, true);
  EXPECT_LE(fleet.wrongful_refusals, fleet.offered / 1000)
      << fleet.wrongful_refusals << " wrongful refusals of " << fleet.offered;
}

}  // namespace
}  // namespace cardamomyard
