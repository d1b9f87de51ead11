// Backend servers that announce in their answers that they leave.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "cardamomyard/base.h"
#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using harness::stream_answer;
using standins::platform_engine;
using standins::platform_store;

constexpr const char* kAnnounced = "A backend server announced that it leaves.";
// The bound of the platform, and the time in which all hosts stop.
constexpr milliseconds kDrain{2000};
constexpr milliseconds kFleetStops{1000};
constexpr int kLongStream = 250;

/// Four servers, two gateways and callers of each.
class leaving_server : public platform_fixture {
 protected:
  leaving_server()
      : platform_fixture({.engines = 4,
                          .slots = 8,
                          .rate_per_s = 10'000,
                          .time_limit = milliseconds(30'000)}) {
    for (int number = 0; number < 4; ++number) {
      Register(number, 1000);
    }
  }
  ~leaving_server() override { StopTraffic(); }

  /// Starts callers that send one request after the other to each gateway.
  void StartTraffic(const std::vector<host>& gateways) {
    for (const host& gateway : gateways) {
      for (const std::string path : {"/ask/1", "/draft/1"}) {
        callers_.emplace_back([this, gateway, path] {
          for (int number = 0; !stop_; ++number) {
            const std::string id =
                gateway.name + path.substr(1, 3) + "-" + std::to_string(number);
            const stream_answer answer = client().Stream(
                gateway.front, Request("POST", path, id, "hello"));
            ++requests_;
            if (answer.status != 200 || !answer.whole) {
              const std::lock_guard lock(mutex_);
              failures_.push_back(id + ": " + std::to_string(answer.status) +
                                  " " + answer.failure + answer.body);
            }
          }
        });
      }
    }
  }

  void StopTraffic() {
    stop_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }

  /// Waits until \p count more requests have ended.
  void AwaitRequests(int count) {
    const int until = requests_ + count;
    EXPECT_TRUE(
        Eventually([&] { return requests_ >= until; }, milliseconds(30'000)));
  }

  /// Writes the entry of a server that started at \p started.
  void Register(int number, std::int64_t started) {
    store().Put(
        "servers", "engine-" + std::to_string(number),
        boost::json::object{
            {"service", "lm"},
            {"address",
             engine_address(static_cast<std::size_t>(number)).ToString()},
            {"zone", "a"},
            {"slots", 8},
            {"state", "ready"},
            {"born", started},
            {"sequence", 1}});
  }

  stream_answer Ask(const host& gateway,
                    const std::string& id,
                    const std::string& path = "/ask/1") {
    return client().Stream(gateway.front, Request("POST", path, id, "hello"));
  }

  std::future<stream_answer> Begin(const host& gateway, const std::string& id) {
    return std::async(std::launch::async,
                      [this, gateway, id] { return Ask(gateway, id); });
  }

  std::vector<std::string> failures() {
    const std::lock_guard lock(mutex_);
    return failures_;
  }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> requests_{0};
  std::mutex mutex_;
  std::vector<std::string> failures_;
  std::vector<std::thread> callers_;
};

TEST_F(leaving_server, Rule11_GetsNoRequestWhileTheStoreIsCutOff) {
  const std::vector<host> gateways{StartGateway("g1"), StartGateway("g2")};
  const host worker = StartWorker("w1", gateways[0]);
  // Streams that run on each server when half of them announce.
  for (platform_engine* engine : engines()) {
    engine->SetEvents(kLongStream);
  }
  std::vector<std::future<stream_answer>> running;
  running.reserve(8);
  for (int number = 0; number < 8; ++number) {
    running.push_back(Begin(gateways[static_cast<std::size_t>(number) % 2],
                            "long-" + std::to_string(number)));
  }
  EXPECT_TRUE(Eventually([&] {
    for (platform_engine* engine : engines()) {
      if (engine->running() == 0) {
        return false;
      }
    }
    return Runs("long") == 8;
  }));
  for (platform_engine* engine : engines()) {
    engine->SetEvents(platform_engine::kEvents);
  }
  StartTraffic(gateways);
  EXPECT_EQ(Submit(gateways[0], "j1", 200, "item").status, 202);
  EXPECT_TRUE(Eventually([&] { return Runs("item") > 10; }));
  store().SetCondition(platform_store::condition::refusing);
  AwaitRequests(40);
  engines()[0]->AnnounceLeaving(true);
  engines()[1]->AnnounceLeaving(true);
  const auto announced = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < announced + 2 * kDrain) {
    AwaitRequests(10);
  }
  for (const int number : {0, 1}) {
    // A server without a free slot gets no request for a while, and until it
    // answers one nobody can know that it leaves.
    const platform_engine& engine =
        *engines()[static_cast<std::size_t>(number)];
    EXPECT_LT(engine.last_request() - engine.announced(), kFleetStops)
        << "engine-" << number << Log("g1") << Log("g2") << Log("w1");
  }
  StopTraffic();
  EXPECT_TRUE(failures().empty())
      << failures().front() << Log("g1") << Log("g2") << Log("w1");
  for (auto& stream : running) {
    const stream_answer answer = stream.get();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.whole) << answer.failure;
  }
  EXPECT_EQ(Runs("long"), 8U);
  store().SetCondition(platform_store::condition::serving);
  EXPECT_TRUE(AllListed(gateways[0], "j1", 200)) << Log("w1");
}

TEST_F(leaving_server, Rule11_GetsNoRequestWhileItsEntrySaysThatItServes) {
  const host gateway = StartGateway("g1");
  engines()[0]->AnnounceLeaving(true);
  EXPECT_TRUE(Eventually([&] {
    static int number = 0;
    EXPECT_EQ(Ask(gateway, "find-" + std::to_string(number++)).status, 200);
    return Logged("g1", kAnnounced, "\"source\":\"answer\"");
  })) << Log("g1");
  // The same instance goes on to report.
  Register(0, 1000);
  Configure(2, {kKey});
  EXPECT_TRUE(Eventually([&] {
    return Logged("g1", "A new configuration is in force.",
                  "\"version\":\"2\"");
  }));
  const auto before = std::chrono::steady_clock::now();
  for (int number = 0; number < 60; ++number) {
    EXPECT_EQ(Ask(gateway, "after-" + std::to_string(number),
                  number % 2 == 0 ? "/ask/1" : "/draft/1")
                  .status,
              200);
  }
  EXPECT_LT(engines()[0]->last_request(), before);
  http_request request;
  request.target = "/metrics";
  const std::string page = client().Call(gateway.internal, request).body;
  EXPECT_NE(page.find("cardamomyard_leaving_backends{source=\"answer\"} 1"),
            std::string::npos)
      << page;
  // A new instance of it serves again.
  engines()[0]->AnnounceLeaving(false);
  Register(0, 2000);
  const auto again = std::chrono::steady_clock::now();
  EXPECT_TRUE(Eventually([&] {
    static int number = 0;
    EXPECT_EQ(Ask(gateway, "again-" + std::to_string(number++)).status, 200);
    return engines()[0]->last_request() > again;
  })) << Log("g1");
}

TEST_F(leaving_server, AllAtOnceAreRefusedAtOnceAndItemsWait) {
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  for (platform_engine* engine : engines()) {
    engine->AnnounceLeaving(true);
  }
  EXPECT_TRUE(Eventually([&] {
    static int number = 0;
    return Ask(gateway, "find-" + std::to_string(number++)).status == 503;
  })) << Log("g1");
  const auto began = std::chrono::steady_clock::now();
  const stream_answer refused = Ask(gateway, "refused");
  EXPECT_EQ(refused.status, 503);
  EXPECT_TRUE(refused.headers.Get("Retry-After"));
  EXPECT_LT(std::chrono::steady_clock::now() - began, kFleetStops);
  EXPECT_EQ(Runs("refused"), 0U);
  // The worker has only the gateway's word, and asks each server once at most.
  EXPECT_EQ(Submit(gateway, "j1", 20, "item").status, 202);
  EXPECT_TRUE(Eventually([&] {
    for (int number = 0; number < 4; ++number) {
      if (!Logged("w1", kAnnounced, "engine-" + std::to_string(number))) {
        return false;
      }
    }
    return true;
  })) << Log("w1");
  for (int number = 0; number < 4; ++number) {
    engines()[static_cast<std::size_t>(number)]->AnnounceLeaving(false);
    Register(number, 2000);
  }
  EXPECT_TRUE(AllListed(gateway, "j1", 20)) << Log("w1");
  EXPECT_TRUE(Eventually([&] {
    static int number = 0;
    return Ask(gateway, "served-" + std::to_string(number++)).status == 200;
  })) << Log("g1");
}

TEST_F(leaving_server, BegunStreamWaitsForAServer) {
  const host gateway = StartGateway("g1");
  for (platform_engine* engine : engines()) {
    engine->SetEvents(kLongStream);
  }
  auto running = Begin(gateway, "long");
  EXPECT_TRUE(Eventually([&] { return Runs("long") == 1; }));
  for (platform_engine* engine : engines()) {
    engine->AnnounceLeaving(true);
    engine->SetEvents(1);
  }
  EXPECT_TRUE(Eventually([&] {
    static int number = 0;
    return Ask(gateway, "find-" + std::to_string(number++)).status == 503;
  })) << Log("g1");
  for (platform_engine* engine : engines()) {
    engine->CutRunning();
  }
  EXPECT_TRUE(Eventually(
      [&] { return Logged("g1", "A server broke off a request.", "long"); }));
  // New instances come after more than the time of a placement.
  const auto broken = std::chrono::steady_clock::now();
  EXPECT_TRUE(Eventually([&] {
    EXPECT_EQ(Ask(gateway, "refused").status, 503);
    return std::chrono::steady_clock::now() > broken + milliseconds(500);
  }));
  for (int number = 0; number < 4; ++number) {
    engines()[static_cast<std::size_t>(number)]->AnnounceLeaving(false);
    engines()[static_cast<std::size_t>(number)]->SetEvents(kLongStream);
    Register(number, 2000);
  }
  const stream_answer answer = running.get();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.whole) << answer.failure << Log("g1");
}

// Hosts that watch the store closely on behalf of all are lost just before a
// server drains that does not announce it.
TEST_F(leaving_server, Rule11_GetsNoRequestAfterTheHostsThatWatchAreLost) {
  store().SetStaleness(milliseconds(6000));
  std::vector<host> gateways;
  std::vector<std::string> names;
  for (const std::string name : {"g1", "g2", "g3", "g4"}) {
    names.push_back(name);
    gateways.push_back(StartGateway(name));
  }
  const auto watching = RendezvousTop(names, "short watches", 2);
  // The first watch of a host is never stale, and ends at a change.
  for (const int version : {2, 3, 4, 5, 6}) {
    RegisterEngine("engine-1", engine_address(1), "draining");
    Register(1, 1000);
    Configure(version, {kKey});
    for (const std::string& name : names) {
      EXPECT_TRUE(Eventually([&] {
        return Logged(name, "A new configuration is in force.",
                      "\"version\":\"" + std::to_string(version) + "\"");
      })) << Log(name);
    }
  }
  std::vector<host> left;
  for (const host& gateway : gateways) {
    if (std::find(watching.begin(), watching.end(), gateway.name) ==
        watching.end()) {
      left.push_back(gateway);
    }
  }
  ASSERT_EQ(left.size(), 2U);
  StartTraffic(left);
  AwaitRequests(20);
  for (const host& gateway : gateways) {
    if (gateway.name != left[0].name && gateway.name != left[1].name) {
      gateway.process->Signal(SIGKILL);
    }
  }
  std::this_thread::sleep_for(milliseconds(300));
  RegisterEngine("engine-0", engine_address(0), "draining");
  const auto acknowledged = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < acknowledged + 2 * kDrain) {
    AwaitRequests(10);
  }
  StopTraffic();
  EXPECT_LT(engines()[0]->last_request() - acknowledged, kDrain)
      << Log(left[0].name) << Log(left[1].name);
  EXPECT_TRUE(failures().empty()) << failures().front();
}

}  // namespace
}  // namespace cardamomyard
