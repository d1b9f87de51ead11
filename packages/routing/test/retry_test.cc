#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "cardamomyard/routing.h"

namespace cardamomyard {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

std::optional<duration> Decide(error failure,
                               bool repeatable,
                               std::uint64_t bytes = 0,
                               int attempts = 1,
                               duration left = std::chrono::seconds(10)) {
  retry_budget budget;
  std::mt19937_64 random(1);
  return retry_policy().NextAttempt(
      {std::move(failure), repeatable, bytes, attempts, kStart + left}, budget,
      kStart, random);
}

// Guards against giving up after a refusal that provably did not run.
TEST(RetryPolicyTest, Rule09_NotRunIsRetriedEvenWhenNotRepeatable) {
  EXPECT_TRUE(Decide(error::Make(error_kind::draining, "m"), false));
  EXPECT_TRUE(Decide(error::Make(error_kind::backend_failed, "m")
                         .WithOutcome(outcome::not_run),
                     false));
  EXPECT_FALSE(Decide(error::Make(error_kind::quarantined, "m"), true));
  EXPECT_FALSE(Decide(error::Make(error_kind::draining, "m"), true, 0, 3));
  EXPECT_FALSE(Decide(error::Make(error_kind::draining, "m"), true, 0, 1, {}));
}

// Guards against a second run of a non-idempotent request, and against a
// stream that starts again after the caller has read part of it.
TEST(RetryPolicyTest, Rule10_NoSecondRunUnlessRepeatable) {
  rc::check([] {
    const auto kind = static_cast<error_kind>(
        *rc::gen::inRange(0, static_cast<int>(error_kind::internal) + 1));
    const auto ran = *rc::gen::element(outcome::not_run, outcome::ran,
                                       outcome::may_have_run);
    const bool repeatable = *rc::gen::arbitrary<bool>();
    const auto bytes = *rc::gen::inRange<std::uint64_t>(0, 3);
    if (Decide(error::Make(kind, "m").WithOutcome(ran), repeatable, bytes)) {
      RC_ASSERT(bytes == 0U);
      RC_ASSERT(ran != outcome::ran);
      RC_ASSERT(ran == outcome::not_run || repeatable);
    }
  });
  EXPECT_TRUE(Decide(error::Make(error_kind::backend_failed, "m"), true));
}

// Guards against a retry storm: half of the servers fail everything. Without a
// budget 1.5 to 1.75 attempts a request are sent.
TEST(RetryPolicyTest, StormStaysUnderTheBudget) {
  constexpr int kRequests = 5000;
  const auto attempts_of = [](bool with_budget) {
    std::vector<backend_candidate> servers;
    std::set<std::string> gone;
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
        gone.insert(servers.back().id);
      }
    }
    affinity_router chosen("suva");
    chosen.Update(candidate_set::Make(servers));
    retry_budget budget;
    std::mt19937_64 random(5);
    int attempts = 0;
    for (int i = 0; i < kRequests; ++i) {
      budget.AddRequest();
      const std::uint64_t prefix = random();
      std::vector<std::string> failed;
      for (int attempt = 1;; ++attempt) {
        ++attempts;
        const auto choice = chosen.Choose(prefix, failed, kStart, random);
        if (!gone.contains(choice->id)) {
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
  const int with = attempts_of(true);
  const int without = attempts_of(false);
  RecordProperty("attempts_with_budget", with);
  RecordProperty("attempts_without_budget", without);
  EXPECT_LE(with, kRequests + kRequests / 10 + 10);
  EXPECT_GT(without, kRequests * 14 / 10);
}

}  // namespace
}  // namespace cardamomyard
