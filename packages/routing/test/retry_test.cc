#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "cardamomyard/routing.h"

namespace cardamomyard {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

std::optional<duration> Decide(error failure,
                               bool repeatable,
                               std::uint64_t bytes_sent = 0,
                               int attempts = 1,
                               duration time_left = std::chrono::seconds(10)) {
  retry_budget budget;
  std::mt19937_64 random(1);
  return retry_policy().NextAttempt({std::move(failure), repeatable, bytes_sent,
                                     attempts, kStart + time_left},
                                    budget, kStart, random);
}

// A request that a server refused before running it must be retried, even if
// it is not repeatable.
TEST(RetryPolicyTest, Rule09_NotRunIsRetriedEvenWhenNotRepeatable) {
  EXPECT_TRUE(Decide(error::Make(error_kind::draining, "m"), false));
  EXPECT_TRUE(Decide(error::Make(error_kind::backend_failed, "m")
                         .WithOutcome(outcome::not_run),
                     false));
  EXPECT_FALSE(Decide(error::Make(error_kind::quarantined, "m"), true));
  EXPECT_FALSE(Decide(error::Make(error_kind::draining, "m"), true, 0, 3));
  EXPECT_FALSE(Decide(error::Make(error_kind::draining, "m"), true, 0, 1, {}));
}

// A non-idempotent request must not run twice, and a stream must not start
// again after the caller has received part of it.
TEST(RetryPolicyTest, Rule10_NoSecondRunUnlessRepeatable) {
  rc::check([] {
    const auto kind = static_cast<error_kind>(
        *rc::gen::inRange(0, static_cast<int>(error_kind::internal) + 1));
    const auto ran = *rc::gen::element(outcome::not_run, outcome::ran,
                                       outcome::may_have_run);
    const bool repeatable = *rc::gen::arbitrary<bool>();
    const auto bytes_sent = *rc::gen::inRange<std::uint64_t>(0, 3);
    if (Decide(error::Make(kind, "m").WithOutcome(ran), repeatable,
               bytes_sent)) {
      RC_ASSERT(bytes_sent == 0U);
      RC_ASSERT(ran != outcome::ran);
      RC_ASSERT(ran == outcome::not_run || repeatable);
    }
  });
  EXPECT_TRUE(Decide(error::Make(error_kind::backend_failed, "m"), true));
}

// Unlimited retries turn a partial failure into a retry storm: when half of the
// servers fail every request, 1.5 to 1.75 attempts per request are sent.
TEST(RetryPolicyTest, RetriesStayWithinTheBudget) {
  constexpr int kRequests = 5000;
  const auto count_attempts = [](bool with_budget) {
    std::vector<backend_candidate> servers;
    std::set<std::string> failing;
    for (int i = 0; i < 20; ++i) {
      servers.push_back({"server-" + std::to_string(i),
                         "suva",
                         "",
                         1000,
                         0,
                         std::chrono::milliseconds(20),
                         {},
                         kStart});
      if (i % 2 == 0) {
        failing.insert(servers.back().id);
      }
    }
    affinity_router tested("suva");
    tested.Update(candidate_set::Make(servers));
    retry_budget budget;
    std::mt19937_64 random(5);
    int attempts = 0;
    for (int i = 0; i < kRequests; ++i) {
      budget.AddRequest();
      const std::uint64_t prefix = random();
      std::vector<std::string> failed;
      for (int attempt = 1;; ++attempt) {
        ++attempts;
        const auto choice = tested.Choose(prefix, failed, kStart, random);
        if (!failing.contains(choice->id)) {
          break;
        }
        failed.push_back(choice->id);
        retry_budget unlimited;
        if (!retry_policy().NextAttempt(
                {error::Make(error_kind::backend_failed, "m"), true, 0, attempt,
                 kStart + std::chrono::seconds(10)},
                with_budget ? budget : unlimited, kStart, random)) {
          break;
        }
      }
    }
    return attempts;
  };
  const int attempts_with_budget = count_attempts(true);
  const int attempts_without_budget = count_attempts(false);
  RecordProperty("attempts_with_budget", attempts_with_budget);
  RecordProperty("attempts_without_budget", attempts_without_budget);
  EXPECT_LE(attempts_with_budget, kRequests + kRequests / 10 + 10);
  EXPECT_GT(attempts_without_budget, kRequests * 14 / 10);
}

}  // namespace
}  // namespace cardamomyard
