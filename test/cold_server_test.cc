// Cold servers and evacuated zones while the store does not answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using standins::platform_store;
using std::chrono::seconds;
using std::chrono::steady_clock;

// 4 requests a second, with the bounds below at most 8 from all hosts.
constexpr double kColdRate = 4;
constexpr double kOverage = 1.5;
constexpr double kSlack = 2;
constexpr std::size_t kColdLimit = 8;
constexpr int kCallersOfAGateway = 6;

/// Three servers, the first one in a zone of its own, and callers of gateways.
class limited_servers : public platform_fixture {
 protected:
  limited_servers()
      : platform_fixture({.engines = 3, .slots = 8, .rate_per_s = 10'000}) {
    SetBounds({{"cold-overage", kOverage},
               {"cold-slack", kSlack},
               {"evacuate-ms", 5000}});
    SetServices({boost::json::object{
        {"name", "lm"}, {"cold-start-s", 3}, {"cold-per-s", kColdRate}}});
    Configure(2, {kKey});
    store().Put("servers", "engine-0",
                boost::json::object{{"service", "lm"},
                                    {"address", engine_address(0).ToString()},
                                    {"zone", "b"},
                                    {"slots", 8},
                                    {"state", "ready"},
                                    {"cold-remaining-ms", 0},
                                    {"sequence", 2}});
  }
  ~limited_servers() override { StopTraffic(); }

  void StartTraffic(const std::vector<host>& gateways) {
    stop_ = false;
    for (const host& gateway : gateways) {
      for (int caller = 0; caller < kCallersOfAGateway; ++caller) {
        callers_.emplace_back([this, gateway, caller] {
          for (int number = 0; !stop_; ++number) {
            const std::string id = gateway.name + "-" + std::to_string(caller) +
                                   "-" + std::to_string(number);
            served_ += client().Stream(gateway.front,
                                       Request("POST", "/ask/1", id, "hello"))
                                   .status == 200
                           ? 1
                           : 0;
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
  void AwaitServed(int count) {
    const int until = served_ + count;
    EXPECT_TRUE(Eventually([&] { return served_ >= until; }, seconds(30)));
  }
  bool KnowsEvacuation(const host& gateway) const {
    return Logged(gateway.name, "The evacuated zones have changed.",
                  "\"zones\":\"b\"");
  }

  std::atomic<bool> stop_{false};
  std::atomic<int> served_{0};
  std::vector<std::thread> callers_;
};

// A cold server crashes when several hosts send to it as to any other.
TEST_F(limited_servers, AColdServerGetsNoMoreThanItsLimitFromAllHosts) {
  const std::vector<host> gateways{StartGateway("g1"), StartGateway("g2")};
  store().SetCondition(platform_store::condition::refusing);
  engines()[0]->SayCold(seconds(60));
  StartTraffic(gateways);
  for (const host& gateway : gateways) {
    EXPECT_TRUE(Eventually([&] {
      return Logged(gateway.name, "A backend server is cold.", "engine-0");
    })) << Log(gateway.name);
  }
  const auto known_at = steady_clock::now();
  AwaitServed(400);
  // It is warmed by requests.
  EXPECT_TRUE(Eventually(
      [&] { return engines()[0]->arrivals().back() > known_at; }, seconds(30)));
  StopTraffic();
  std::vector<steady_clock::time_point> arrivals = engines()[0]->arrivals();
  std::erase_if(arrivals, [&](const auto& at) { return at < known_at; });
  for (std::size_t i = 0; i + kColdLimit < arrivals.size(); ++i) {
    EXPECT_GE(arrivals[i + kColdLimit] - arrivals[i], seconds(1));
  }
}

// A host that restarts while the store is away learns from its peers that a
// zone is evacuated, and must not send there before.
TEST_F(limited_servers, AnEvacuatedZoneGetsNothingAlsoFromARestartedHost) {
  std::vector<host> gateways{StartGateway("g1"), StartGateway("g2")};
  StartTraffic(gateways);
  EXPECT_TRUE(Eventually([&] { return !engines()[0]->arrivals().empty(); }));
  store().Put("evacuations", "b", boost::json::object{});
  for (const host& gateway : gateways) {
    EXPECT_TRUE(Eventually([&] { return KnowsEvacuation(gateway); }))
        << Log(gateway.name);
  }
  // What was written before is on its way.
  std::this_thread::sleep_for(milliseconds(200));
  const std::size_t before = engines()[0]->arrivals().size();
  AwaitServed(100);
  store().SetCondition(platform_store::condition::refusing);
  StopTraffic();
  gateways[0].process->Kill();
  StartAgain(gateways[0]);
  ASSERT_TRUE(Eventually([&] { return Ready(gateways[0]); }, seconds(20)))
      << Log("g1");
  StartTraffic(gateways);
  AwaitServed(100);
  EXPECT_EQ(engines()[0]->arrivals().size(), before);
  store().SetCondition(platform_store::condition::serving);
  store().Erase("evacuations", "b");
  EXPECT_TRUE(Eventually(
      [&] { return engines()[0]->arrivals().size() > before; }, seconds(30)));
}

}  // namespace
}  // namespace cardamomyard
