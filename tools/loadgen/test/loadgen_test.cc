#include <gtest/gtest.h>

#include <algorithm>

#include "arrivals.h"
#include "cardamomyard/net.h"
#include "load_profile.h"
#include "load_run.h"
#include "recorder.h"
#include "request_maker.h"

namespace cardamomyard::loadgen {
namespace {

// Guards against a misspelt field that silently keeps its default.
TEST(LoadProfile, UnknownFieldsAreErrors) {
  const auto profile = ParseProfile(
      R"({"seconds":2,"callers":[{"name":"a","rate":5,"stream":false}]})");
  ASSERT_TRUE(profile);
  EXPECT_EQ(profile->callers.at(0).rate, 5);
  EXPECT_FALSE(profile->callers.at(0).stream);
  EXPECT_FALSE(ParseProfile(R"({"callers":[{"rates":5}]})"));
}

// Guards against bursts that do not raise the rate, or raise it all the time.
TEST(Arrivals, BurstsRaiseTheRate) {
  caller_profile caller;
  caller.rate = 100;
  caller.burst_factor = 5;
  caller.burst_period_s = 10;
  caller.burst_length_s = 1;
  arrivals schedule(caller, 1);
  int burst = 0;
  int rest = 0;
  for (double at = schedule.Next(); at < 10; at = schedule.Next()) {
    ++(at < 1 ? burst : rest);
  }
  EXPECT_NEAR(burst, 500, 80);
  EXPECT_NEAR(rest, 900, 110);
}

TEST(Percentile, IsTheNearestRank) {
  EXPECT_EQ(Percentile({1, 2, 3, 4}, 0.5), 2);
  EXPECT_EQ(Percentile({1, 2, 3, 4}, 0.99), 4);
  EXPECT_EQ(Percentile({}, 0.5), 0);
}

// Guards against prompts that share less than asked for, or everything.
TEST(RequestMaker, PromptsShareTheirPrefix) {
  caller_profile caller;
  caller.shared_prefix = 0.5;
  const std::string first = MakeRequest(caller, 1, 0).body;
  const std::string second = MakeRequest(caller, 1, 1).body;
  const auto differs =
      std::mismatch(first.begin(), first.end(), second.begin()).first;
  const auto shared = differs - first.begin() -
                      static_cast<std::ptrdiff_t>(first.find("\"prompt\":"));
  EXPECT_GE(shared, 32 * 4);
  EXPECT_LT(shared, 40 * 4);
}

// Guards against refused connections that are reported as run.
TEST(LoadRun, ReportsRefusedConnectionsAsNotRun) {
  load_profile profile;
  profile.seconds = 0.2;
  profile.callers.resize(1);
  profile.callers[0].rate = 100;
  run_options options;
  options.targets.push_back(host_address::Make("127.0.0.1", 1));
  const auto summaries = RunLoad(profile, options);
  ASSERT_TRUE(summaries);
  const caller_summary& caller = summaries->at(0);
  EXPECT_GT(caller.sent, 0U);
  EXPECT_EQ(caller.outcomes.at("not_run"), caller.sent);
}

// Guards against kept connections that outlive the contexts they belong to,
// and against streams whose tokens are not counted.
TEST(LoadRun, MeasuresStreamsOverKeptConnections) {
  thread_pool threads(1);
  auto server = http_server::Create(
      {}, threads, [](http_exchange& exchange) -> boost::asio::awaitable<void> {
        co_await exchange.ReadBody(1 << 20);
        header_list headers;
        headers.Set("Content-Type", "text/event-stream");
        co_await exchange.StartStream(200, std::move(headers));
        co_await exchange.Write("data: {}\n\ndata: {}\n\n");
        co_await exchange.Write("data: [DONE]\n\n");
        co_await exchange.Finish();
      });
  ASSERT_TRUE(server);
  (*server)->Start();
  load_profile profile;
  profile.seconds = 0.3;
  profile.callers.resize(1);
  profile.callers[0].rate = 200;
  run_options options;
  options.targets.push_back((*server)->address());
  const auto summaries = RunLoad(profile, options);
  ASSERT_TRUE(summaries);
  const caller_summary& caller = summaries->at(0);
  EXPECT_EQ(caller.complete, caller.sent);
  EXPECT_EQ(caller.tokens, 2 * caller.sent);
  EXPECT_EQ(caller.first_token_ms.size(), caller.sent);
  threads.Stop();
}

}  // namespace
}  // namespace cardamomyard::loadgen
