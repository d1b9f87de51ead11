// Planned stops of an entry host with requests that outlast the drain.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

constexpr std::chrono::seconds kExit{20};

class EntryStopTest : public FleetTest {
 protected:
  void StartWith(backend_group group) {
    Start({.entry_hosts = 1,
           .groups = {std::move(group)},
           .entry_flags = {"--drain-timeout-ms", "4000"}});
  }

  child_process& entry() { return *fleet_->entry(0).process; }

  std::unique_ptr<raw_connection> Open(const std::string& bytes) {
    auto opened = raw_connection::Open(fleet_->entry(0).address);
    EXPECT_TRUE(opened && (*opened)->Send(bytes));
    return std::move(*opened);
  }

  /// Sends the signal and waits until idle connections are closed.
  void StopUntilDraining() {
    const auto idle = Open("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
    EXPECT_EQ(idle->ReadAnswer().status, 200);
    entry().Signal(SIGTERM);
    EXPECT_TRUE(idle->WaitForClose(std::chrono::seconds(10)));
    EXPECT_TRUE(entry().Running());
  }
};

TEST_F(EntryStopTest, LateRequestThatOutlastsTheDrainIsRefusedAsNotRun) {
  StartWith(Services(1, {"--delay-ms", "60000"}));
  const std::string body = R"({"call_id":"late"})";
  const auto late =
      Open("POST /app HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " +
           fleet_->key("acme") + "\r\nContent-Type: application/json\r\n");
  StopUntilDraining();
  ASSERT_TRUE(late->Send("Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body));
  const http_response answer = late->ReadAnswer();
  EXPECT_EQ(answer.status, 503) << answer.body;
  EXPECT_TRUE(Contains(answer.body, "not_run")) << answer.body;
  EXPECT_EQ(entry().WaitForExit(kExit), 0);
  EXPECT_LE(ServiceCalls("late"), 0);
}

TEST_F(EntryStopTest, RunningRequestGetsAnAnswerBeforeTheEndOfTheDrain) {
  StartWith(Services(1, {"--delay-ms", "60000"}));
  auto running = std::async(std::launch::async, [this] {
    return Send(JsonRequest("POST", "/app", R"({"call_id":"r1"})",
                            fleet_->key("acme")));
  });
  ASSERT_TRUE(WaitUntil([this] { return ServiceCalls("r1") == 1; }));
  entry().Signal(SIGTERM);
  const http_response answer = running.get();
  EXPECT_EQ(answer.status, 504) << answer.body;
  EXPECT_TRUE(Contains(answer.body, "may_have_run")) << answer.body;
  EXPECT_EQ(entry().WaitForExit(kExit), 0);
  EXPECT_EQ(ServiceCalls("r1"), 1);
}

TEST_F(EntryStopTest, RunningRepeatableRequestGetsAnAnswerBeforeTheEnd) {
  StartWith(Engines(1, {"--step-ms", "200"}));
  auto running = std::async(std::launch::async,
                            [this] { return Chat(ChatBody("story", 300)); });
  ASSERT_TRUE(WaitUntil([this] { return EngineStat("started") >= 1; }));
  entry().Signal(SIGTERM);
  const http_response answer = running.get();
  EXPECT_EQ(answer.status, 504) << answer.body;
  EXPECT_EQ(entry().WaitForExit(kExit), 0);
}

TEST_F(EntryStopTest, StreamThatOutlastsTheDrainEndsWithAnErrorEvent) {
  StartWith(Engines(1, {"--step-ms", "200"}));
  running_stream stream = BeginStream(ChatBody("story", 300, true));
  entry().Signal(SIGTERM);
  const stream_answer answer = stream.answer.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.whole);
  EXPECT_TRUE(Contains(answer.body, "\"timeout\"")) << answer.body;
  EXPECT_FALSE(Contains(answer.body, "[DONE]"));
  EXPECT_EQ(entry().WaitForExit(kExit), 0);
}

}  // namespace
}  // namespace cardamomyard::harness
