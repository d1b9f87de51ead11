// Planned stops of a gateway with requests that outlast the grace period.
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <string>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using harness::raw_connection;
using harness::stream_answer;
using standins::platform_engine;

constexpr milliseconds kLong{60'000};
constexpr int kAlways = 1'000'000;

/// A request in two parts: the second one completes its head.
struct split_request {
  std::string begin;
  std::string rest;
};

class gateway_stop : public platform_fixture {
 protected:
  gateway_stop() : platform_fixture({.time_limit = milliseconds(30'000)}) {}

  static split_request Split(const std::string& method,
                             const std::string& target,
                             const std::string& id) {
    return {method + " " + target +
                " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                "\r\nAuthorization: Token " + kKey + "\r\n",
            "Content-Length: 0\r\n\r\n"};
  }

  std::unique_ptr<raw_connection> Open(const host& gateway,
                                       const std::string& bytes) {
    auto opened = raw_connection::Open(gateway.front);
    EXPECT_TRUE(opened && (*opened)->Send(bytes));
    return std::move(*opened);
  }

  /// Sends the signal and waits until the gateway closes idle connections.
  void StopUntilDraining(const host& gateway) {
    const split_request whole = Split("GET", "/none/1", "idle");
    const auto idle = Open(gateway, whole.begin + whole.rest);
    EXPECT_EQ(idle->ReadAnswer().status, 404);
    gateway.process->Signal(SIGTERM);
    EXPECT_TRUE(idle->WaitForClose(milliseconds(10'000)));
    EXPECT_TRUE(gateway.process->Running());
  }

  std::future<stream_answer> Begin(const host& gateway,
                                   const std::string& target,
                                   const std::string& id) {
    auto begun = std::async(std::launch::async, [this, gateway, target, id] {
      return client().Stream(gateway.front,
                             Request("POST", target, id, "hello"));
    });
    EXPECT_TRUE(Eventually(
        [&] { return Logged("g1", "A request goes to a server.", id); }));
    return begun;
  }

  void Silence() {
    for (platform_engine* engine : engines()) {
      engine->FallSilent(kLong);
    }
  }

  void SetEvents(int count) {
    for (platform_engine* engine : engines()) {
      engine->SetEvents(count);
    }
  }

  void ExpectLateRefusal(const std::string& method, const std::string& target) {
    const host gateway = StartGateway("g1");
    const split_request request = Split(method, target, "late");
    const auto late = Open(gateway, request.begin);
    StopUntilDraining(gateway);
    ASSERT_TRUE(late->Send(request.rest));
    const http_response answer = late->ReadAnswer();
    EXPECT_EQ(answer.status, 503) << Log("g1");
    EXPECT_EQ(answer.headers.Get("Retry-After"), "0.000");
    EXPECT_EQ(gateway.process->WaitForExit(milliseconds(10'000)), 0);
    EXPECT_EQ(Runs("late"), 0U);
    EXPECT_FALSE(Logged("g1", "A request goes to a server.", "late"));
    EXPECT_TRUE(
        Logged("g1", "The gateway has stopped.", "\"refused_late\":\"1\""))
        << Log("g1");
  }

  void ExpectAnswerAtTheEnd(const std::string& target) {
    const host gateway = StartGateway("g1");
    Silence();
    auto running = Begin(gateway, target, "r1");
    gateway.process->Signal(SIGTERM);
    const stream_answer answer = running.get();
    EXPECT_EQ(answer.status, 504) << answer.failure << Log("g1");
    EXPECT_TRUE(answer.whole) << answer.failure;
    EXPECT_EQ(gateway.process->WaitForExit(milliseconds(10'000)), 0);
    EXPECT_TRUE(
        Logged("g1", "The gateway has stopped.", "\"ended_requests\":\"1\""))
        << Log("g1");
    EXPECT_TRUE(
        Logged("g1", "The gateway has stopped.", "\"cut_requests\":\"0\""));
  }
};

TEST_F(gateway_stop, LateRequestThatMayNotBeRepeatedIsRefusedAsNotRun) {
  SetEvents(kAlways);
  ExpectLateRefusal("POST", "/draft/1");
}

TEST_F(gateway_stop, LateRequestToSilentServersIsRefusedAsNotRun) {
  Silence();
  ExpectLateRefusal("POST", "/draft/1");
}

TEST_F(gateway_stop, LateBatchJobIsRefusedAndNotStored) {
  // The stream ends when a batch call may outlast the stop.
  SetEvents(560);
  const host gateway = StartGateway("g1");
  const host other = StartGateway("g2");
  const split_request stream = Split("POST", "/draft/1", "r1");
  const auto kept = Open(gateway, stream.begin + stream.rest);
  // An answer that begins during the stop would not keep the connection.
  ASSERT_TRUE(kept->WaitForBytes());
  StopUntilDraining(gateway);
  const std::string body = R"({"items":[{"id":"i-0","path":"/lots/1/x",)"
                           R"("headers":{"Model":"m"},"body":"ZG8gaXQ=",)"
                           R"("tokens":100}]})";
  ASSERT_TRUE(kept->Send(Split("POST", "/lots/late", "late").begin +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body));
  const http_response both = kept->ReadAnswer();
  EXPECT_EQ(both.status, 200);
  EXPECT_NE(both.headers.Get("Connection").value_or(""), "close");
  EXPECT_NE(both.body.find("HTTP/1.1 503"), std::string::npos) << Log("g1");
  EXPECT_EQ(gateway.process->WaitForExit(milliseconds(10'000)), 0);
  EXPECT_TRUE(
      Logged("g1", "The gateway has stopped.", "\"refused_late\":\"1\""));
  EXPECT_TRUE(Results(other, "late").empty());
}

TEST_F(gateway_stop, RunningRequestOfASilentServerGetsAnAnswerBeforeTheEnd) {
  ExpectAnswerAtTheEnd("/draft/1");
}

TEST_F(gateway_stop, RunningRequestThatMayMoveGetsAnAnswerBeforeTheEnd) {
  ExpectAnswerAtTheEnd("/ask/1");
}

// Until new connections stop to arrive, a refused caller would come back.
TEST_F(gateway_stop, RequestOnANewConnectionIsServedWhileTheyStillArrive) {
  const host gateway = StartGateway("g1");
  gateway.process->Signal(SIGTERM);
  EXPECT_TRUE(Eventually([&] { return !Ready(gateway); }));
  const stream_answer answer = client().Stream(
      gateway.front, Request("POST", "/draft/1", "r1", "hello"));
  EXPECT_EQ(answer.status, 200) << Log("g1");
  EXPECT_TRUE(answer.whole) << answer.failure;
  EXPECT_EQ(gateway.process->WaitForExit(milliseconds(10'000)), 0);
}

TEST_F(gateway_stop, StreamThatEndsInTimeEndsWhole) {
  SetEvents(350);
  const host gateway = StartGateway("g1");
  auto running = Begin(gateway, "/draft/1", "r1");
  StopUntilDraining(gateway);
  const stream_answer answer = running.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.whole) << answer.failure << Log("g1");
  EXPECT_EQ(gateway.process->WaitForExit(milliseconds(10'000)), 0);
  EXPECT_TRUE(
      Logged("g1", "The gateway has stopped.", "\"cut_requests\":\"0\""));
}

TEST_F(gateway_stop, StreamThatOutlastsTheStopIsCutAndCounted) {
  SetEvents(kAlways);
  const host gateway = StartGateway("g1");
  auto running = Begin(gateway, "/draft/1", "r1");
  gateway.process->Signal(SIGTERM);
  const stream_answer answer = running.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(gateway.process->WaitForExit(milliseconds(10'000)), 0);
  EXPECT_TRUE(
      Logged("g1", "The gateway has stopped.", "\"cut_requests\":\"1\""))
      << Log("g1");
}

}  // namespace
}  // namespace cardamomyard
