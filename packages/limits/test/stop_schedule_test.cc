#include "src/limits/stop_schedule.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{8000};
constexpr milliseconds kRefuseAfter{2600};
constexpr milliseconds kMargin{200};

class stop_schedule_test : public ::testing::Test {
 protected:
  const time_point start_{std::chrono::hours(1)};
  const time_point end_ = start_ + kGrace;
  const stop_schedule schedule_ =
      stop_schedule::Make(start_ + kRefuseAfter, end_, kMargin);
};

TEST_F(stop_schedule_test, EachTenthOfTheGraceTakesOnlyWhatCanEndInTime) {
  for (int tenth = 0; tenth <= 10; ++tenth) {
    const time_point now = start_ + kGrace * tenth / 10;
    const bool early = now < start_ + kRefuseAfter;
    EXPECT_EQ(schedule_.MayTake(now, end_ + kGrace), early) << tenth;
    EXPECT_EQ(schedule_.MayTake(now, end_), early) << tenth;
    const bool answerable = now < end_ - kMargin;
    EXPECT_EQ(schedule_.MayTake(now, end_ - kMargin), answerable) << tenth;
    EXPECT_EQ(schedule_.MayTake(now, end_ - kMargin + milliseconds(1)), early)
        << tenth;
    EXPECT_EQ(schedule_.MayTake(now, now + milliseconds(1)), answerable)
        << tenth;
  }
}

TEST_F(stop_schedule_test, EachTenthOfTheGraceEndsBeforeTheStop) {
  for (int tenth = 0; tenth <= 10; ++tenth) {
    const time_point now = start_ + kGrace * tenth / 10;
    for (const milliseconds limit :
         {milliseconds(1), milliseconds(800), milliseconds(30'000)}) {
      const time_point deadline = now + limit;
      EXPECT_LE(schedule_.LimitAnswer(deadline), end_ - kMargin);
      EXPECT_LE(schedule_.LimitStream(deadline), end_);
      if (deadline <= end_ - kMargin) {
        EXPECT_EQ(schedule_.LimitAnswer(deadline), deadline);
        EXPECT_EQ(schedule_.LimitStream(deadline), deadline);
      }
    }
  }
}

TEST_F(stop_schedule_test, EachTenthOfTheGraceLeavesAWaitTheTimeToEnd) {
  constexpr milliseconds kWait{1000};
  constexpr milliseconds kWork{1500};
  for (int tenth = 0; tenth <= 10; ++tenth) {
    const time_point now = start_ + kGrace * tenth / 10;
    const duration wait = schedule_.LimitWait(now, kWait, kWork);
    EXPECT_GE(wait, duration(0));
    EXPECT_LE(wait, kWait);
    if (now + kWork <= end_ - kMargin) {
      EXPECT_LE(now + wait + kWork, end_ - kMargin) << tenth;
    }
    if (now + kWait + kWork <= end_ - kMargin) {
      EXPECT_EQ(wait, kWait) << tenth;
    }
  }
}

TEST_F(stop_schedule_test, ShortGraceRefusesOnlyWhatCannotBeAnswered) {
  const auto brief = stop_schedule::Make(start_ + kRefuseAfter,
                                         start_ + milliseconds(1000), kMargin);
  EXPECT_TRUE(brief.MayTake(start_ + milliseconds(799), end_));
  EXPECT_FALSE(brief.MayTake(start_ + milliseconds(800), end_));
  EXPECT_NE(brief, schedule_);
}

}  // namespace
}  // namespace cardamomyard
