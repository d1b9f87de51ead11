// Gateways and workers beside backend servers that crash under requests.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_fixture.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

using standins::HeaderOf;
using standins::raw_peer;
using standins::raw_server;
using std::chrono::seconds;

// Bounds of the deployment: requests that may still reach servers, crashes that
// may precede, and the time that hosts have to learn of them.
constexpr int kMaxRequestsAfterwards = 3;
constexpr int kCrashesBefore = 5;
constexpr milliseconds kContact{3000};
// A calm fleet with free servers places an item well before this.
constexpr seconds kPlacedWithin{4};
constexpr int kAlways = 1000;

class server_crash : public platform_fixture {
 protected:
  static constexpr int kServers = 6;

  server_crash() {
    for (int i = 0; i < 2; ++i) {
      RegisterEngine("engine-" + std::to_string(i), engine_address(i),
                     "draining");
    }
    for (int i = 0; i < kServers; ++i) {
      AddServer();
    }
  }

  /// Registers a server that a request with the prompt part "dead" crashes.
  void AddServer() {
    auto state = std::make_shared<std::atomic<raw_server*>>(nullptr);
    auto server = std::make_unique<raw_server>([this, state](raw_peer& peer) {
      for (std::string head = peer.ReadRequest(); !head.empty();
           head = peer.ReadRequest()) {
        if (HeaderOf(head, "Prompt-Prefix").find("dead:") !=
            std::string::npos) {
          ++crashes_;
          state->load()->StopListening();
          peer.Reset();
          return;
        }
        peer.Send(Answer(HeaderOf(head, "Request-Id")));
      }
    });
    *state = server.get();
    RegisterEngine("server-" + std::to_string(servers_.size()),
                   server->address(), "ready");
    servers_.push_back(std::move(server));
  }

  /// Adds a server for each one that has crashed.
  void ReplaceCrashed() {
    while (static_cast<int>(servers_.size()) < kServers + crashes_) {
      AddServer();
    }
  }

  static std::string Answer(const std::string& id) {
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
           "Content-Length: " +
           std::to_string(events.size()) + "\r\n\r\n" + events;
  }

  /// Sends a request whose prompt has the parts \p parts and one of its own.
  harness::stream_answer Ask(const host& gateway,
                             const std::string& id,
                             const std::string& parts) {
    http_request request = Request("POST", "/ask/1", id, "body of " + id);
    request.headers.Add("Prompt-Prefix", parts + "," + id + ":250");
    return client().Stream(gateway.front, request);
  }

  std::atomic<int> crashes_{0};
  std::vector<std::unique_ptr<raw_server>> servers_;
};

TEST_F(server_crash, PromptPartThatCrashesServersStopsReachingThem) {
  const host first = StartGateway("g1");
  const host second = StartGateway("g2");
  std::atomic<bool> stop{false};
  std::atomic<int> next{0};
  // Sound requests share the caller and the other parts.
  std::thread sound([&] {
    while (!stop) {
      Ask(first, "sound-" + std::to_string(next++), "shared:200,session:50");
    }
  });
  const auto send_crashing = [&](const host& gateway, int count) {
    for (int i = 0; i < count; ++i) {
      Ask(gateway, "crashing-" + std::to_string(next++),
          "shared:200,session:50,dead:100");
      ReplaceCrashed();
    }
  };
  for (int round = 0; round < 10 && crashes_ < kCrashesBefore; ++round) {
    send_crashing(round % 2 == 0 ? first : second, 1);
  }
  std::this_thread::sleep_for(kContact);
  const int before = crashes_;
  send_crashing(first, 6);
  send_crashing(second, 6);
  EXPECT_LE(crashes_ - before, kMaxRequestsAfterwards) << Log("g1");

  // A gateway that starts later has seen none of the crashes.
  const host late = StartGateway("g3");
  ASSERT_TRUE(
      Eventually([&] { return Logged("g3", "A peer is heard.", "\"g1\""); }));
  send_crashing(late, 6);
  EXPECT_LE(crashes_ - before, kMaxRequestsAfterwards) << Log("g3");
  stop = true;
  sound.join();
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    served += Ask(i % 2 == 0 ? second : late, "after-" + std::to_string(i),
                  "shared:200,session:50")
                      .whole
                  ? 1
                  : 0;
  }
  EXPECT_EQ(served, 20) << Log("g2");
}

TEST_F(platform_fixture, Rule01_ItemUnderWhichServersCrashedIsPlacedAgain) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  // The first runs of both items end with their servers.
  for (standins::platform_engine* engine : engines()) {
    engine->DropNext(kAlways);
  }
  ASSERT_EQ(Submit(gateway, "job", 2, "item").status, 202);
  ASSERT_TRUE(Eventually([&] { return Runs("item-1") >= 5; }, seconds(20)))
      << Log("w1");
  for (standins::platform_engine* engine : engines()) {
    engine->DropNext(0);
  }
  EXPECT_TRUE(Eventually(
      [&] {
        const auto results = Results(gateway, "job");
        return results.contains("next") &&
               results.at("next").to_number<int>() == 2;
      },
      kPlacedWithin))
      << Log("w1");
}

}  // namespace
}  // namespace cardamomyard
