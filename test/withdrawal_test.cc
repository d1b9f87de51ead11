// Guards that a withdrawn key stops working within seconds.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

constexpr std::chrono::seconds kLimit{3};

TEST_F(FleetTest, Rule06_WithdrawnKeyStopsCallerAndStream) {
  Start({.groups = {Engines(1, {"--step-ms", "20"})}});
  running_stream stream = BeginStream(ChatBody("long story", 5000, true), 1);
  ASSERT_EQ(Chat(ChatBody("short")).status, 200);
  const auto withdrawn = fleet_->WithdrawKeyOf("acme");
  ASSERT_TRUE(withdrawn) << withdrawn.error().message();

  EXPECT_EQ(stream.answer.wait_for(kLimit), std::future_status::ready);
  EXPECT_TRUE(WaitUntil(
      [this] { return Chat(ChatBody("short")).status == 401; }, kLimit));
  EXPECT_TRUE(Contains(Chat(ChatBody("short")).body, "key_withdrawn"));
  const stream_answer answer = stream.answer.get();
  EXPECT_FALSE(answer.whole);
  EXPECT_TRUE(Contains(answer.body, "key_withdrawn"));
  EXPECT_FALSE(Contains(answer.body, "[DONE]"));
  EXPECT_TRUE(WaitUntil([this] { return EngineStat("cancelled") >= 1; }));
}

TEST_F(FleetTest, Rule06_WithdrawalThroughOneHostStopsStreamsOnAnother) {
  Start({.groups = {Engines(1, {"--step-ms", "20"})}});
  constexpr int kStreams = 4;
  std::vector<running_stream> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(
        BeginStream(ChatBody("story " + std::to_string(i), 5000, true), i % 2));
  }
  const http_response withdrawn =
      Send(JsonRequest("POST", "/admin/v1/keys/acme-1/withdraw", "",
                       fleet_->admin_token()),
           0);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  ASSERT_EQ(withdrawn.status, 200) << withdrawn.body;
  EXPECT_TRUE(WaitUntil(
      [this] { return Chat(ChatBody("short"), 1).status == 401; }, kLimit));
  for (running_stream& stream : streams) {
    EXPECT_EQ(stream.answer.wait_until(end), std::future_status::ready);
    const stream_answer answer = stream.answer.get();
    EXPECT_FALSE(answer.whole);
    EXPECT_TRUE(Contains(answer.body, "key_withdrawn"));
  }
}

TEST_F(FleetTest, Rule06_EntryHostCutOffAloneIsIsolated) {
  Start({.entry_hosts = 3, .groups = {Engines(1)}, .separable_entry = 0});
  ASSERT_EQ(Chat(ChatBody("a")).status, 200);
  fleet_->CutOff(true);
  // W = 5 s of the design page, with time for detection.
  EXPECT_TRUE(WaitUntil(
      [this] {
        return Contains(
            Send(JsonRequest("GET", "/v1/models", "", fleet_->key("acme")))
                .body,
            "isolated");
      },
      std::chrono::seconds(8)));
  // The cut also takes away the hosts that lend to entry host 1 until its share
  // counts, W + 1 s after the start of the fleet. It is never isolated.
  http_response beside;
  EXPECT_TRUE(WaitUntil([&] {
    beside = Chat(ChatBody("a"), 1);
    EXPECT_FALSE(Contains(beside.body, "isolated"));
    return beside.status != 429;
  }));
  EXPECT_EQ(beside.status, 200) << beside.body;
  fleet_->CutOff(false);
  EXPECT_TRUE(WaitUntil([this] { return Chat(ChatBody("a")).status == 200; }));
}

TEST_F(FleetTest, Rule06_TrafficGoesOnDuringAStoreOutage) {
  Start({.groups = {Engines(1)}});
  fleet_->Control(fleet_->store(), R"({"outage":true})");
  // Longer than the contact window of 5 s.
  const bool refused = WaitUntil(
      [this] {
        return Chat(ChatBody("a"), 0).status != 200 ||
               Chat(ChatBody("a"), 1).status != 200;
      },
      std::chrono::seconds(8));
  EXPECT_FALSE(refused);
}

}  // namespace
}  // namespace cardamomyard::harness
