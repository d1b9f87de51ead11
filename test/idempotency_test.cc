// Guards that a call with an Idempotency-Key runs at most once.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

class IdempotencyTest : public FleetTest {
 protected:
  http_response Order(const std::string& id, std::size_t entry = 0) {
    http_request request = JsonRequest(
        "POST", "/app", R"({"call_id":")" + id + R"("})", fleet_->key("acme"));
    request.headers.Set("Idempotency-Key", id);
    return Send(std::move(request), entry);
  }
};

TEST_F(IdempotencyTest, Rule10_ResendAfterTheDeathOfTheEntryHost) {
  Start({.groups = {Services(1, {"--delay-ms", "2000"})}});
  auto first = std::async(std::launch::async, [this] { return Order("o"); });
  ASSERT_TRUE(WaitUntil([this] { return ServiceCalls("o") == 1; }));
  fleet_->entry(0).process->Kill();
  EXPECT_EQ(first.get().status, 0);
  // The share of a new fleet's second host counts only after W + 1 s, and the
  // host that lends to it is dead, so the first answers may be 429 (not run).
  http_response again;
  EXPECT_TRUE(WaitUntil([&] {
    again = Order("o", 1);
    return again.status != 429;
  }));
  EXPECT_EQ(again.status, 409) << again.body;
  EXPECT_TRUE(Contains(again.body, "unknown_outcome")) << again.body;
  // Longer than the call itself.
  EXPECT_FALSE(WaitUntil([this] { return ServiceCalls("o") != 1; },
                         std::chrono::seconds(3)));
}

TEST_F(IdempotencyTest, Rule10_FinishedCallIsReplayed) {
  Start({.groups = {Services(1)}});
  const http_response first = Order("o", 0);
  EXPECT_EQ(first.status, 200) << first.body;
  for (std::size_t entry : {1, 0}) {
    const http_response again = Order("o", entry);
    EXPECT_EQ(again.status, 200) << again.body;
    EXPECT_EQ(again.body, first.body);
  }
  EXPECT_EQ(ServiceCalls("o"), 1);
}

// Guards against a refusal of a resend that comes after the answer was sent and
// before it is stored.
TEST_F(IdempotencyTest, Rule10_ResendBeforeTheAnswerIsStoredIsReplayed) {
  Start({.groups = {Services(1)}});
  fleet_->Control(fleet_->store(), R"({"delay_ms":150})");
  const http_response first = Order("o", 0);
  EXPECT_EQ(first.status, 200) << first.body;
  const http_response again = Order("o", 1);
  EXPECT_EQ(again.status, 200) << again.body;
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(ServiceCalls("o"), 1);
}

TEST_F(IdempotencyTest, Rule10_CallSentTwiceAtOnceRunsOnce) {
  Start({.groups = {Services(2, {"--delay-ms", "300"})}});
  auto first = std::async(std::launch::async, [this] { return Order("o", 0); });
  const http_response second = Order("o", 1);
  const int statuses[] = {first.get().status, second.status};
  EXPECT_TRUE(statuses[0] == 200 || statuses[1] == 200);
  EXPECT_EQ(ServiceCalls("o") +
                fleet_->Stat(fleet_->backend("app", 1), {"by_call", "o"}),
            1);
}

TEST_F(IdempotencyTest, Rule10_NothingRunsWithoutAClaim) {
  Start({.groups = {Services(1)}});
  fleet_->Control(fleet_->store(), R"({"outage":true})");
  const http_response refused = Order("o");
  EXPECT_EQ(refused.status, 503) << refused.body;
  EXPECT_TRUE(Contains(refused.body, R"("outcome":"not_run")")) << refused.body;
  EXPECT_EQ(ServiceCalls("o"), 0);
  fleet_->Control(fleet_->store(), R"({"outage":false})");
  // The refusal was true, so the same call may run now.
  EXPECT_TRUE(WaitUntil([this] { return Order("o", 1).status == 200; }));
  EXPECT_EQ(ServiceCalls("o"), 1);
}

TEST_F(IdempotencyTest, Rule10_LostStoreAnswersRunNothingTwice) {
  Start({.groups = {Services(1)}});
  fleet_->Control(fleet_->store(), R"({"lose_answers":0.5,"seed":3})");
  for (int i = 0; i < 12; ++i) {
    const std::string id = "o" + std::to_string(i);
    const http_response answers[] = {Order(id, 0), Order(id, 1), Order(id, 0)};
    EXPECT_LE(ServiceCalls(id), 1) << id;
    for (const http_response& answer : answers) {
      if (answer.status == 200) {
        EXPECT_EQ(ServiceCalls(id), 1) << id;
      }
    }
  }
}

}  // namespace
}  // namespace cardamomyard::harness
