#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

#include "src/node/entry/rate_gate.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;

/// A host without shares of its own, and homes with scripted replies.
class RateGateTest : public testing::Test {
 protected:
  RateGateTest() {
    share_table table{1, {"home-a", "home-b"}};
    limiter.SetTable(table, table_origin::created, time.Now());
    limiter.SetContact(time_point::max(), time.Now());
    limiter.SetAccounts(1,
                        std::make_shared<const limits_snapshot>(limits_snapshot{
                            {"acme", {40, 40}}, {"slow", {0.5, 4}}}),
                        time.Now());
  }

  result<void> Take(const std::string& account) {
    rate_gate gate(
        limiter, time, "borrower",
        [this](std::string home, borrow message,
               std::chrono::milliseconds /*timeout*/)
            -> asio::awaitable<result<borrow_reply>> {
          asked.push_back(home);
          last = message;
          if (on_ask) {
            on_ask();
          }
          borrow_reply reply{grants[home], std::chrono::milliseconds(100)};
          reply.retry_after = retry_after;
          co_return reply;
        });
    asio::io_context context;
    result<void> taken = Fail(error_kind::internal, "did not end");
    asio::co_spawn(context, gate.Take(account),
                   [&](const std::exception_ptr& thrown, result<void> answer) {
                     ASSERT_EQ(thrown, nullptr);
                     taken = std::move(answer);
                   });
    context.run();
    return taken;
  }

  manual_clock time;
  account_limiter limiter{"borrower"};
  std::map<std::string, double> grants;
  std::vector<std::string> asked;
  std::function<void()> on_ask;
  std::chrono::milliseconds retry_after{0};
  borrow last;
};

// Failure: a request is refused while another home still has tokens.
TEST_F(RateGateTest, Rule07_PartsOfATokenComeFromSeveralHomes) {
  grants = {{"home-a", 0.5}, {"home-b", 0.5}};
  EXPECT_TRUE(Take("acme"));
  EXPECT_EQ(asked.size(), 2U);
  EXPECT_EQ(last.account, "acme");
  EXPECT_DOUBLE_EQ(last.amount, 0.5);
}

// Failure: a caller above its rate is admitted or waits long for the refusal.
TEST_F(RateGateTest, Rule07_EmptyHomesRefuseWithRetryAfter) {
  const result<void> taken = Take("slow");
  ASSERT_FALSE(taken);
  EXPECT_EQ(taken.error().kind(), error_kind::rate_limited);
  EXPECT_EQ(taken.error().ran(), outcome::not_run);
  EXPECT_EQ(taken.error().retry_after(), std::chrono::milliseconds(2000));
}

// Failure: the wait or Retry-After ignores the time that the only home
// returned.
TEST_F(RateGateTest, TheOnlyHomeTellsWhenToComeBack) {
  retry_after = std::chrono::milliseconds(700);
  EXPECT_EQ(Take("slow").error().retry_after(), std::chrono::milliseconds(700));
  EXPECT_EQ(asked.size(), 1U);
  EXPECT_DOUBLE_EQ(last.least, 1);
}

// Failure: a loan is used after the lender has granted its tokens to others.
// The loan lasts 100 ms from when it was requested.
TEST_F(RateGateTest, Rule07_ALateLoanIsNotUsed) {
  grants = {{"home-a", 1}, {"home-b", 1}};
  on_ask = [this] { time.Advance(std::chrono::milliseconds(101)); };
  const result<void> taken = Take("acme");
  ASSERT_FALSE(taken);
  EXPECT_EQ(taken.error().kind(), error_kind::rate_limited);
  EXPECT_LE(asked.size(), 2U);
}

// Failure: a caller is refused although its token is available in a moment.
TEST_F(RateGateTest, AShortLackIsWaitedFor) {
  on_ask = [this] {
    if (asked.size() == 3) {
      grants = {{"home-a", 1}, {"home-b", 1}};
    }
  };
  EXPECT_TRUE(Take("acme"));
  EXPECT_EQ(asked.size(), 3U);
}

// Failure: a host without contact admits requests on shares that others may
// use.
TEST_F(RateGateTest, Rule07_WithoutContactNothingIsTaken) {
  limiter.SetContact(time.Now(), time.Now());
  const result<void> taken = Take("acme");
  ASSERT_FALSE(taken);
  EXPECT_EQ(taken.error().kind(), error_kind::isolated);
  EXPECT_TRUE(asked.empty());
}

TEST_F(RateGateTest, UnknownLimitsAreNotReady) {
  EXPECT_EQ(Take("nobody").error().kind(), error_kind::not_ready);
}

}  // namespace
}  // namespace cardamomyard
