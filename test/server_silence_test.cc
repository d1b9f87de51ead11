// Sound servers that send nothing for a while and then go on.
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using harness::stream_answer;
using standins::platform_engine;

// Longer than a gateway waits for a server that another one can replace.
constexpr milliseconds kSilence{1000};
constexpr int kLongStream = 60;
constexpr int kAlways = 1'000'000;

/// Two servers with one slot each.
class server_silence : public platform_fixture {
 protected:
  server_silence() : platform_fixture({.engines = 2, .slots = 1}) {
    for (platform_engine* engine : engines()) {
      engine->SetEvents(kLongStream);
    }
  }

  std::future<stream_answer> Begin(const host& gateway,
                                   const std::string& id,
                                   const std::string& path = "/ask/1") {
    return std::async(std::launch::async, [this, gateway, id, path] {
      return client().Stream(gateway.front, Request("POST", path, id, "hello"));
    });
  }

  /// Waits until one server runs. \returns it and the other one.
  std::pair<platform_engine*, platform_engine*> RunningAndOther() {
    platform_engine& first = *engines()[0];
    platform_engine& second = *engines()[1];
    EXPECT_TRUE(
        Eventually([&] { return first.running() + second.running() == 1; }));
    if (first.running() == 1) {
      return {&first, &second};
    }
    return {&second, &first};
  }

  void ExpectWhole(const stream_answer& answer) {
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.whole) << answer.failure << Log("g1");
    std::size_t at = 0;
    for (int i = 1; i <= kLongStream; ++i) {
      const std::string event = "data: " + platform_engine::Event(i) + "\n";
      const std::size_t found = answer.body.find(event, at);
      ASSERT_NE(found, std::string::npos) << "event " << i << Log("g1");
      at = found + event.size();
    }
  }
};

TEST_F(server_silence, Rule01_StreamIsNotCutWhileNoOtherServerIsFree) {
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  const auto [silent, other] = RunningAndOther();
  // Busy for longer than the silence.
  other->SetEvents(5 * kLongStream);
  auto second = Begin(gateway, "r2");
  ASSERT_TRUE(Eventually([&, busy = other] { return busy->running() == 1; }));
  silent->FallSilent(kSilence);
  ExpectWhole(first.get());
  ExpectWhole(second.get());
  EXPECT_EQ(Runs("r1"), 1U);
}

TEST_F(server_silence, Rule01_StreamIsNotCutBesideAChangeOfConfiguration) {
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  const auto [silent, other] = RunningAndOther();
  auto second = Begin(gateway, "r2");
  ASSERT_TRUE(Eventually([&, busy = other] { return busy->running() == 1; }));
  silent->FallSilent(kSilence);
  for (int version = 2; version < 12; ++version) {
    Configure(version, {kKey});
  }
  ExpectWhole(first.get());
  ExpectWhole(second.get());
}

TEST_F(server_silence, Rule01_RequestIsNotFailedWhileNoOtherServerIsFree) {
  const host gateway = StartGateway("g1");
  for (platform_engine* engine : engines()) {
    engine->FallSilent(kSilence);
  }
  auto first = Begin(gateway, "r1");
  auto second = Begin(gateway, "r2");
  ExpectWhole(first.get());
  ExpectWhole(second.get());
}

TEST_F(server_silence, Rule01_StreamIsNotCutWhenTheOtherServerRefuses) {
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  const auto [silent, other] = RunningAndOther();
  other->RefuseNext(kAlways);
  silent->FallSilent(kSilence);
  ExpectWhole(first.get());
  EXPECT_EQ(Runs("r1"), 1U);
}

TEST_F(server_silence, Rule01_StreamIsNotCutWhenTheOtherServerCannotBeReached) {
  RegisterEngine("gone", *harness::ReserveAddress(), "ready");
  RegisterEngine("engine-1", engine_address(1), "draining");
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  ASSERT_TRUE(Eventually([&] { return engines()[0]->running() == 1; }));
  engines()[0]->FallSilent(kSilence);
  ExpectWhole(first.get());
}

TEST_F(server_silence, Rule01_StreamGoesOnAtTheServerThatWakesFirst) {
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  const auto [silent, other] = RunningAndOther();
  other->FallSilent(std::chrono::seconds(60));
  silent->FallSilent(milliseconds(300));
  ExpectWhole(first.get());
}

TEST_F(server_silence, Rule01_HungServerIsLeftThoughTheOtherRefusedOnce) {
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  const auto [silent, other] = RunningAndOther();
  other->RefuseNext(1);
  silent->FallSilent(std::chrono::seconds(60));
  ExpectWhole(first.get());
}

TEST_F(server_silence, StreamMovesToAFreeServerBeforeTheSilenceEnds) {
  const host gateway = StartGateway("g1");
  auto first = Begin(gateway, "r1");
  const auto [silent, other] = RunningAndOther();
  silent->FallSilent(std::chrono::seconds(60));
  ExpectWhole(first.get());
  EXPECT_EQ(other->runs()["r1"], 1);
}

TEST_F(server_silence, RequestEndsWhenItsCallerLeavesWhileTheServerIsSilent) {
  const host gateway = StartGateway("g1");
  client().Stream(
      gateway.front, Request("POST", "/draft/1", "r1", "hello"),
      [&](std::string_view) {
        for (platform_engine* engine : engines()) {
          engine->FallSilent(std::chrono::seconds(60));
        }
        return true;
      },
      milliseconds(500));
  // Well before the time limit of the route ends the request.
  EXPECT_TRUE(Eventually(
      [&] { return Logged("g1", "An online request ended.", "caller_left"); },
      milliseconds(3000)))
      << Log("g1");
}

TEST_F(server_silence, Rule01_BatchItemsAreListedWholeThoughServersAreSilent) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  ASSERT_EQ(Submit(gateway, "job-1", 6, "a").status, 202);
  const auto [silent, other] = RunningAndOther();
  silent->FallSilent(kSilence);
  other->FallSilent(kSilence);
  EXPECT_TRUE(AllListed(gateway, "job-1", 6)) << Log("w1");
}

}  // namespace
}  // namespace cardamomyard
