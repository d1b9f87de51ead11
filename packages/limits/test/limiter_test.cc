#include <gtest/gtest.h>

#include <thread>

#include "cardamomyard/limits.h"

namespace cardamomyard {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
const share_table one_host{1, {"host-0"}};

std::shared_ptr<const limits_snapshot> Limits(double rate, double burst) {
  return std::make_shared<const limits_snapshot>(
      limits_snapshot{{"a", {rate, burst}}});
}

int AdmitAll(account_limiter& limiter, time_point now) {
  int count = 0;
  while (std::holds_alternative<admitted>(limiter.Admit("a", now))) {
    ++count;
  }
  return count;
}

// A minority could remove hosts, or half of the hosts could be removed.
TEST(ShareTableTest, Rule07_RemovalNeedsAMajority) {
  const share_table table{4, {"a", "b", "c", "d"}};
  EXPECT_FALSE(PlanRemoval(table, {"d"}, {"a", "b"}));
  EXPECT_FALSE(PlanRemoval(table, {"c", "d"}, {"a", "b", "c"}));
  EXPECT_FALSE(PlanRemoval(table, {"d"}, {"a", "b", "d"}));
  EXPECT_EQ(PlanRemoval(table, {"d"}, {"a", "b", "c"}),
            (share_table{5, {"a", "b", "c"}}));
  EXPECT_FALSE(PlanJoin(table, "a"));
}

// With too many homes, none of them could ever hold a whole token.
TEST(ShareTableTest, EachHomeHoldsAToken) {
  EXPECT_EQ(HomeCount({1000, 3}, 560), 3U);
  EXPECT_EQ(HomeCount({1000, 500}, 560), 50U);
  EXPECT_EQ(HomeCount({1000, 500}, 4), 4U);
  EXPECT_EQ(HomeCount({0.001, 0.5}, 0), 1U);
}

// A restart or a raised limit could grant the burst again.
TEST(LimiterTest, Rule07_RestartsAndIncreasesStartEmpty) {
  account_limiter limiter("host-0");
  limiter.SetTable(one_host, table_origin::found, kStart);
  limiter.SetContact(time_point::max(), kStart);
  limiter.SetAccounts(1, Limits(1, 10), kStart);
  limiter.ConfirmTable(1, kStart);
  limiter.ConfirmAccounts(1, kStart);
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(6)), 0);
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(8)), 2);
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(100)), 10);
  limiter.SetAccounts(2, Limits(10, 100), kStart + seconds(100));
  limiter.ConfirmAccounts(2, kStart + seconds(100));
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(106)), 6);
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(107)), 10);
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(120)), 100);
  limiter.SetAccounts(3, Limits(1, 1), kStart + seconds(140));
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(140)), 1);
}

// A paused host could resume with a share that other hosts have used in the
// meantime.
TEST(LimiterTest, Rule07_LapsedContactEmptiesTheBuckets) {
  account_limiter limiter("host-0");
  limiter.SetTable(one_host, table_origin::created, kStart);
  limiter.SetContact(kStart + seconds(5), kStart);
  limiter.SetAccounts(1, Limits(1, 10), kStart);
  EXPECT_EQ(AdmitAll(limiter, kStart), 10);
  const admission late = limiter.Admit("a", kStart + seconds(5));
  EXPECT_EQ(std::get<refused>(late).kind, error_kind::isolated);
  limiter.SetContact(kStart + seconds(99), kStart + seconds(60));
  EXPECT_EQ(AdmitAll(limiter, kStart + seconds(60)), 0);
}

// A home could lend a fraction of a token although no other home can add to it;
// the loan would expire unused.
TEST(LimiterTest, LoansBelowTheMinimumAreNotGranted) {
  account_limiter limiter("host-0");
  limiter.SetTable(one_host, table_origin::created, kStart);
  limiter.SetContact(time_point::max(), kStart);
  limiter.SetAccounts(1, Limits(2, 10), kStart);
  EXPECT_EQ(limiter.Lend("a", 9.5, 1, kStart).tokens, 9.5);
  const loan refusal = limiter.Lend("a", 1, 1, kStart);
  EXPECT_EQ(refusal.tokens, 0);
  EXPECT_EQ(refusal.retry_after, std::chrono::milliseconds(350));
  EXPECT_EQ(limiter.Lend("a", 1, 0, kStart).tokens, 0.5);
}

// Two threads could take the same token.
TEST(LimiterTest, Rule07_ThreadsShareOneBucket) {
  account_limiter limiter("host-0");
  limiter.SetTable(one_host, table_origin::created, kStart);
  limiter.SetContact(time_point::max(), kStart);
  limiter.SetAccounts(1, Limits(1, 10000), kStart);
  std::atomic<int> count = 0;
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&] { count += AdmitAll(limiter, kStart); });
    }
  }
  EXPECT_EQ(count, 10000);
}

}  // namespace
}  // namespace cardamomyard
