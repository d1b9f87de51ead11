// A stream's server and the one that is to take it over are both silent.
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <string_view>
#include <utility>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using harness::stream_answer;
using standins::platform_engine;

// Longer than a gateway waits for the refusal of the second server.
constexpr milliseconds kSilence{1000};
constexpr int kLongStream = 60;
constexpr int kAlways = 1'000'000;

class silent_successor : public platform_fixture {
 protected:
  silent_successor() : platform_fixture({.engines = 2, .slots = 1}) {
    for (platform_engine* engine : engines()) {
      engine->SetEvents(kLongStream);
    }
  }

  void FallSilentAndRefuse() {
    for (platform_engine* engine : engines()) {
      engine->RefuseNext(kAlways);
      engine->FallSilent(kSilence);
    }
  }

  void ExpectWhole(const stream_answer& answer) {
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.whole) << answer.failure << "\n" << Log("g1");
    for (int i = 1; i <= kLongStream; ++i) {
      ASSERT_NE(answer.body.find("data: " + platform_engine::Event(i) + "\n"),
                std::string::npos)
          << "event " << i << "\n"
          << Log("g1");
    }
    EXPECT_EQ(Runs("r1"), 1U);
  }
};

TEST_F(silent_successor, StreamIsNotCutWhenTheSuccessorRefusesLate) {
  const host gateway = StartGateway("g1");
  bool silent = false;
  ExpectWhole(client().Stream(gateway.front,
                              Request("POST", "/ask/1", "r1", "hello"),
                              [&](std::string_view) {
                                if (!std::exchange(silent, true)) {
                                  FallSilentAndRefuse();
                                }
                                return true;
                              }));
}

TEST_F(silent_successor, RequestIsNotFailedWhenTheSuccessorRefusesLate) {
  const host gateway = StartGateway("g1");
  auto stream = std::async(std::launch::async, [&] {
    return client().Stream(gateway.front,
                           Request("POST", "/ask/1", "r1", "hello"));
  });
  EXPECT_TRUE(Eventually(
      [&] { return engines()[0]->running() + engines()[1]->running() == 1; }));
  FallSilentAndRefuse();
  ExpectWhole(stream.get());
}

TEST_F(silent_successor, StreamIsNotCutWhenTheSuccessorBreaksOff) {
  const host gateway = StartGateway("g1");
  bool silent = false;
  const stream_answer answer =
      client().Stream(gateway.front, Request("POST", "/ask/1", "r1", "hello"),
                      [&](std::string_view) {
                        if (!std::exchange(silent, true)) {
                          for (platform_engine* engine : engines()) {
                            engine->DropNext(kAlways);
                            if (engine->running() > 0) {
                              engine->FallSilent(kSilence);
                            }
                          }
                        }
                        return true;
                      });
  EXPECT_TRUE(answer.whole) << answer.failure << "\n" << Log("g1");
}

}  // namespace
}  // namespace cardamomyard
