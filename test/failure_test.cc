// Guards what callers are told when backend servers fail or refuse.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

TEST_F(FleetTest, Rule08_KilledEngineCutsTheStreamWithAnErrorEvent) {
  Start({.groups = {Engines(1, {"--step-ms", "20"})}});
  running_stream stream = BeginStream(ChatBody("story", 5000, true));
  fleet_->backend("lm").process->Kill();
  const stream_answer answer = stream.answer.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.whole);
  EXPECT_TRUE(Contains(answer.body, R"("error")"));
  EXPECT_TRUE(Contains(answer.body, R"("outcome":"may_have_run")"));
  EXPECT_FALSE(Contains(answer.body, "[DONE]"));
}

TEST_F(FleetTest, Rule09_RequestsRefusedAsNotRunWereNotRun) {
  std::vector<backend_group> groups{Engines(1), Services(1)};
  const std::string extra =
      "[model.absent]\ncontext_tokens = 8192\nversions = [\"1\"]\n"
      "adapters = []\nengine_checks_fencing = true\n";
  Start({.entry_hosts = 1,
         .groups = groups,
         .configuration = DefaultConfiguration(groups) + extra});
  const auto expect_not_run = [](const http_response& answer, int status) {
    EXPECT_EQ(answer.status, status) << answer.body;
    EXPECT_TRUE(Contains(answer.body, R"("outcome":"not_run")")) << answer.body;
  };
  const auto named = [](const std::string& model) {
    return R"({"model":")" + model +
           R"(","messages":[{"role":"user","content":"a"}]})";
  };
  expect_not_run(Chat(named("unknown")), 404);
  expect_not_run(Chat(named("absent")), 503);
  expect_not_run(Chat("{"), 400);

  const std::string key = fleet_->key("acme");
  fleet_->SetLeaving(fleet_->sidecar("app"), true);
  const http_request call =
      JsonRequest("POST", "/app", R"({"call_id":"late"})", key);
  http_response refused;
  ASSERT_TRUE(WaitUntil([&] {
    refused = Send(JsonRequest("POST", "/app", R"({"call_id":"probe"})", key));
    return refused.status != 200;
  }));
  expect_not_run(refused, 503);
  EXPECT_TRUE(refused.headers.Get("Retry-After"));
  expect_not_run(Send(call), 503);
  EXPECT_EQ(ServiceCalls("late"), 0);
  EXPECT_EQ(EngineStat("started"), 0);
}

TEST_F(FleetTest, Rule09_RateRefusalsWereNotRun) {
  std::vector<backend_group> groups{Engines(1)};
  const std::string slow =
      "[account.slow]\nrate_per_second = 1.0\nburst = 5\nweight = 1.0\n"
      "models = []\n";
  Start({.entry_hosts = 1,
         .groups = groups,
         .configuration = DefaultConfiguration(groups) + slow});
  int served = 0;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    const http_response answer = Send(
        JsonRequest("POST", kChatPath, ChatBody("a", 1), fleet_->key("slow")));
    served += answer.status == 200 ? 1 : 0;
    if (answer.status == 429) {
      ++refused;
      EXPECT_TRUE(Contains(answer.body, R"("outcome":"not_run")"));
      EXPECT_TRUE(answer.headers.Get("Retry-After"));
    }
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(EngineStat("started"), served);
}

TEST_F(FleetTest, Rule10_CallToADyingServiceRunsAtMostOnce) {
  // The delay keeps the call running until the services are killed.
  Start({.entry_hosts = 1, .groups = {Services(2, {"--delay-ms", "60000"})}});
  auto running = std::async(std::launch::async, [this] {
    return Send(JsonRequest("POST", "/app", R"({"call_id":"order"})",
                            fleet_->key("acme")));
  });
  const auto calls = [this](std::size_t index) {
    return fleet_->Stat(fleet_->backend("app", index), {"by_call", "order"});
  };
  ASSERT_TRUE(WaitUntil([&] { return calls(0) + calls(1) == 1; }));
  const std::size_t runner = calls(0) == 1 ? 0 : 1;
  fleet_->backend("app", runner).process->Kill();
  const http_response answer = running.get();
  EXPECT_EQ(answer.status, 502) << answer.body;
  EXPECT_TRUE(Contains(answer.body, R"("outcome":"may_have_run")"))
      << answer.body;
  EXPECT_EQ(calls(1 - runner), 0);
}

TEST_F(FleetTest, Rule14_CrashingRequestCostsAtMostTwoEngines) {
  Start({.groups = {
             Engines(4, {"--crash-mode", "drop", "--restart-ms", "500"})}});
  const auto crashes = [this] {
    double total = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      const double seen = EngineStat("crashes", i);
      if (seen < 0) {
        return -1.0;
      }
      total += seen;
    }
    return total;
  };
  for (std::size_t i = 0; i < 12; ++i) {
    const http_response answer = Chat(ChatBody("CRASH_ENGINE"), i % 2);
    EXPECT_NE(answer.status, 200);
    // Between the attempts every engine answers again.
    ASSERT_TRUE(WaitUntil([&] { return crashes() >= 0; }));
    ASSERT_TRUE(fleet_->WaitUntilReady());
  }
  EXPECT_LE(crashes(), 2);
  EXPECT_GE(crashes(), 1);
  EXPECT_EQ(Chat(ChatBody("fine")).status, 200);
}

TEST_F(FleetTest, Rule14_MessageThatCrashesEnginesStopsReachingThem) {
  constexpr int kCrashesBefore = 5;
  constexpr int kMaxCrashesAfterwards = 3;
  Start({.groups = {
             Engines(4, {"--crash-mode", "drop", "--restart-ms", "300"})}});
  const auto body = [](const std::string& shared, int own) {
    return R"({"model":"lm","messages":[{"role":"system","content":"hello"},)"
           R"({"role":"system","content":")" +
           shared + R"("},{"role":"user","content":"question )" +
           std::to_string(own) + R"("}],"max_tokens":4})";
  };
  const auto crashes = [this] {
    int total = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      const double seen = EngineStat("crashes", i);
      if (seen < 0) {
        return -1;
      }
      total += static_cast<int>(seen);
    }
    return total;
  };
  // No two of the requests are alike; sound ones share the first message.
  for (int i = 0; i < 14; ++i) {
    EXPECT_EQ(Chat(body("fine", i), i % 2).status, 200);
    EXPECT_NE(Chat(body("CRASH_ENGINE", i), i % 2).status, 200);
    ASSERT_TRUE(WaitUntil([&] { return crashes() >= 0; }));
    ASSERT_TRUE(fleet_->WaitUntilReady());
  }
  EXPECT_LE(crashes(), kCrashesBefore + kMaxCrashesAfterwards);
  EXPECT_EQ(Chat(body("fine", 100)).status, 200);
}

}  // namespace
}  // namespace cardamomyard::harness
