#include <gtest/gtest.h>

#include <random>

#include "cardamomyard/admission.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Orders of two holders must not overlap on an engine that ignores fencing
// tokens, although reads and writes are slow, holders pause, and the answer to
// a write that took effect may be lost.
TEST(OrderGuardTest, OnlyOneHolderMaySend) {
  int takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    time_point now{std::chrono::hours(1)};
    std::optional<order_lease> stored;
    std::vector<order_guard> guards;
    guards.reserve(3);
    std::vector<time_point> awake_from(3, now);
    for (int i = 0; i < 3; ++i) {
      guards.emplace_back("host-" + std::to_string(i), seconds(3),
                          milliseconds(200));
    }
    time_point order_end;
    std::size_t order_holder = 0;
    for (int step = 0; step < 3000; ++step) {
      now += milliseconds(random() % 100);
      const std::size_t i = random() % guards.size();
      if (awake_from[i] > now) {
        continue;
      }
      const time_point sent = now;
      const auto observed = stored;
      now += milliseconds(random() % 50);
      guards[i].Observe(observed, now);
      if (const auto next = guards[i].NextRecord(now);
          next && stored == observed) {
        takeovers += stored && stored->holder != next->holder;
        stored = next;
        if (random() % 10 != 0) {
          guards[i].RecordWritten(*next, sent);
        }
      }
      if (random() % 30 == 0) {
        awake_from[i] = now + milliseconds(random() % 8000);
      }
      const duration order_time = milliseconds(random() % 1000);
      if (guards[i].MaySend(now, order_time)) {
        if (order_holder != i) {
          ASSERT_LE(order_end, now) << "seed " << seed;
        }
        ASSERT_EQ(guards[i].fencing_token(), stored->fencing_token);
        order_end = std::max(order_end, now + order_time);
        order_holder = i;
      }
    }
  }
  EXPECT_GT(takeovers, 100);
}

// Concurrent loads must not exceed the bound that protects the weight store,
// and the slot of a holder that crashed must become free again.
TEST(LoadSlotsTest, LoadsAreBounded) {
  const wall_time now{std::chrono::hours(1)};
  const auto held = load_slots().Acquire("a", 1, now, seconds(10));
  ASSERT_TRUE(held);
  EXPECT_TRUE(held->Acquire("a", 1, now, seconds(10)));
  const auto refused = held->Acquire("b", 1, now + seconds(4), seconds(10));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().retry_after(), milliseconds(6000));
  EXPECT_TRUE(held->Acquire("b", 1, now + seconds(10), seconds(10)));
  EXPECT_TRUE(held->Release("a").Acquire("b", 1, now, seconds(10)));
}

}  // namespace
}  // namespace cardamomyard
