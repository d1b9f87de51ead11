#include "src/gateway/change_signal.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace cardamomyard {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::hours kLong{1};

class change_signal_test : public ::testing::Test {
 protected:
  void StartWait(duration limit) {
    asio::co_spawn(context_, Count(limit), asio::detached);
    context_.poll();
    context_.restart();
  }

  asio::awaitable<void> Count(duration limit) {
    co_await signal_->Wait(limit);
    ++woken_;
  }

  asio::io_context context_;
  std::unique_ptr<change_signal> signal_ =
      std::make_unique<change_signal>(context_.get_executor());
  int woken_ = 0;
};

// Two readers of one batch job kept waking each other while they waited.
TEST_F(change_signal_test, AWaitDoesNotEndTheWaitsOfOthers) {
  StartWait(kLong);
  StartWait(kLong);
  context_.poll();
  EXPECT_EQ(woken_, 0);
  signal_->Notify();
  context_.restart();
  context_.run();
  EXPECT_EQ(woken_, 2);
}

TEST_F(change_signal_test, AWaitEndsAtItsLimit) {
  StartWait(std::chrono::milliseconds(1));
  context_.run();
  EXPECT_EQ(woken_, 1);
}

TEST_F(change_signal_test, DestroyingTheSignalEndsItsWaits) {
  StartWait(kLong);
  signal_.reset();
  context_.run();
  EXPECT_EQ(woken_, 1);
}

}  // namespace
}  // namespace cardamomyard
