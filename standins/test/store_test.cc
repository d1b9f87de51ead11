#include "standin_fixture.h"
#include "store/store_service.h"

namespace cardamomyard::standins {
namespace {

class store_fixture : public standin_fixture {
 protected:
  void SetUp() override { Serve(std::make_unique<store_service>(options_)); }

  http_response Put(const std::string& value, const std::string& match) {
    header_list headers;
    if (match == "*") {
      headers.Set("If-None-Match", "*");
    } else if (!match.empty()) {
      headers.Set("If-Match", match);
    }
    return Call("PUT", "/v1/objects/a/b", value, headers);
  }

  store_options options_;
};

class small_budget_fixture : public store_fixture {
 protected:
  small_budget_fixture() {
    // So slow that the budget does not refill during the test.
    options_.writes_per_second = 3;
    options_.reads_per_second = 1000;
  }
};

// Guards against two writers that both win a conditional update.
TEST_F(store_fixture, ConditionalUpdate) {
  const auto created = Put("1", "*");
  ASSERT_EQ(created.status, 200);
  EXPECT_EQ(Put("2", "*").status, 412);
  const std::string version = *created.headers.Get("ETag");
  const auto updated = Put("3", version);
  EXPECT_EQ(updated.status, 200);
  EXPECT_EQ(Put("4", version).status, 412);
  const auto read = Call("GET", "/v1/objects/a/b");
  EXPECT_EQ(read.body, "3");
  EXPECT_EQ(read.headers.Get("ETag"), updated.headers.Get("ETag"));
  EXPECT_EQ(
      Call("PUT", "/v1/objects/x", std::string((1 << 20) + 1, 'x')).status,
      413);
}

// Guards against a page that skips or repeats a key.
TEST_F(store_fixture, ListsByPrefixInPages) {
  for (const char* key : {"p/1", "p/2", "p/3", "q/1"}) {
    ASSERT_EQ(Call("PUT", std::string("/v1/objects/") + key, "v").status, 200);
  }
  const auto first = Call("GET", "/v1/objects?prefix=p%2F&limit=2");
  EXPECT_NE(first.body.find(R"("key":"p/2")"), std::string::npos);
  EXPECT_NE(first.body.find(R"("more":true)"), std::string::npos);
  const auto rest =
      Call("GET", "/v1/objects?prefix=p%2F&limit=2&start_after=p%2F2");
  EXPECT_NE(rest.body.find(R"([{"key":"p/3")"), std::string::npos);
  EXPECT_NE(rest.body.find(R"("more":false)"), std::string::npos);
}

// Guards against a watch that sleeps through a change until its next poll.
TEST_F(store_fixture, WatchWakesOnAChange) {
  const std::string etag = *Put("1", "*").headers.Get("ETag");
  const std::string version = etag.substr(1, etag.size() - 2);
  auto waiting =
      Begin("GET", "/v1/watch/a/b?after=" + version + "&timeout_ms=60000");
  ASSERT_TRUE(WaitForStat("waiting_watches", 1));
  Put("2", "");
  const auto answer = waiting.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "2");
  const std::string now = *answer->headers.Get("ETag");
  EXPECT_EQ(Call("GET", "/v1/watch/a/b?timeout_ms=1&after=" +
                            now.substr(1, now.size() - 2))
                .status,
            204);
}

// Guards against a lost answer whose change was lost too, which would hide
// missing read-backs.
TEST_F(store_fixture, LostAnswerTakesEffect) {
  Call("POST", "/control", R"({"lose_answers":1.0,"seed":7})");
  EXPECT_EQ(Put("1", "*").status, 0);
  EXPECT_EQ(Call("GET", "/v1/objects/a/b").body, "1");
}

// Guards against an outage that lets calls through, or a hang that answers.
TEST_F(store_fixture, OutageRefusesOrHangs) {
  Call("POST", "/control", R"({"outage":true})");
  EXPECT_EQ(Put("1", "").status, 503);
  Call("POST", "/control", R"({"outage":true,"hang":true})");
  auto waiting = Begin("GET", "/v1/objects/a/b");
  ASSERT_TRUE(WaitForStat("get", 1));
  EXPECT_EQ(waiting.wait_for(std::chrono::milliseconds(50)),
            std::future_status::timeout);
  Call("POST", "/control", R"({"outage":false})");
  const auto answer = waiting.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 404);
}

// Guards against a budget that is not enforced, or that reads share.
TEST_F(small_budget_fixture, WritesOverBudgetAreRefused) {
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    refused += Put("1", "").status == 429 ? 1 : 0;
  }
  EXPECT_GT(refused, 10);
  EXPECT_EQ(Call("GET", "/v1/objects/a/b").status, 200);
}

// Guards against watches that cost nothing while they wait.
TEST(CallBudget, ChargeTakesFromLaterCalls) {
  manual_clock time;
  call_budget budget(10, time.Now());
  budget.Charge(15, time.Now());
  EXPECT_FALSE(budget.Take(time.Now()));
  time.Advance(std::chrono::milliseconds(700));
  EXPECT_TRUE(budget.Take(time.Now()));
  EXPECT_TRUE(budget.Take(time.Now()));
  EXPECT_FALSE(budget.Take(time.Now()));
}

}  // namespace
}  // namespace cardamomyard::standins
