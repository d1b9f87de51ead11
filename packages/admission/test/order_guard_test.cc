#include <gtest/gtest.h>

#include <random>

#include "cardamomyard/admission.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against orders of two holders in flight together on an engine that
// ignores fencing numbers: reads and writes are slow, holders pause, and
// answers are lost after the effect.
TEST(OrderGuardTest, OnlyOneHolderMaySend) {
  int takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    time_point now{std::chrono::hours(1)};
    std::optional<order_lease> stored;
    std::vector<order_guard> guards;
    guards.reserve(3);
    std::vector<time_point> awake(3, now);
    for (int i = 0; i < 3; ++i) {
      guards.emplace_back("host-" + std::to_string(i), seconds(3),
                          milliseconds(200));
    }
    time_point order_ends;
    std::size_t order_holder = 0;
    for (int step = 0; step < 3000; ++step) {
      now += milliseconds(random() % 100);
      const std::size_t i = random() % guards.size();
      if (awake[i] > now) {
        continue;
      }
      const time_point sent = now;
      const auto seen = stored;
      now += milliseconds(random() % 50);
      guards[i].Observe(seen, now);
      if (const auto next = guards[i].NextRecord(now); next && stored == seen) {
        takeovers += stored && stored->holder != next->holder;
        stored = next;
        if (random() % 10 != 0) {
          guards[i].RecordWritten(*next, sent);
        }
      }
      if (random() % 30 == 0) {
        awake[i] = now + milliseconds(random() % 8000);
      }
      const duration order_time = milliseconds(random() % 1000);
      if (guards[i].MaySend(now, order_time)) {
        if (order_holder != i) {
          ASSERT_LE(order_ends, now) << "seed " << seed;
        }
        ASSERT_EQ(guards[i].fencing_token(), stored->fencing_token);
        order_ends = std::max(order_ends, now + order_time);
        order_holder = i;
      }
    }
  }
  EXPECT_GT(takeovers, 100);
}

// Guards against more loads than the weight store's rate allows, and a slot
// that is lost with its holder.
TEST(LoadSlotsTest, LoadsAreBounded) {
  const wall_time now{std::chrono::hours(1)};
  const auto one = load_slots().Acquire("a", 1, now, seconds(10));
  ASSERT_TRUE(one);
  EXPECT_TRUE(one->Acquire("a", 1, now, seconds(10)));
  const auto refused = one->Acquire("b", 1, now + seconds(4), seconds(10));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().retry_after(), milliseconds(6000));
  EXPECT_TRUE(one->Acquire("b", 1, now + seconds(10), seconds(10)));
  EXPECT_TRUE(one->Release("a").Acquire("b", 1, now, seconds(10)));
}

}  // namespace
}  // namespace cardamomyard
