// Entries of backend servers that expire and come back while single hosts do
// not hear the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

using standins::platform_store;
using std::chrono::seconds;
using std::chrono::steady_clock;

// A removed server stays usable, as a last resort, for less than this.
constexpr seconds kRemovalShows{3};
// Bound for a host that hears the store again: its next try, one watch and one
// listing.
constexpr seconds kCurrentAgain{10};

class returning_entries : public platform_fixture {
 protected:
  explicit returning_entries(int engines = 2)
      : platform_fixture({.engines = engines, .rate_per_s = 10'000}) {}

  /// Cuts all hosts off, so that each hears of what follows in one answer.
  void CutOff(const std::vector<host>& hosts) {
    store().SetCondition(platform_store::condition::refusing);
    for (const host& each : hosts) {
      EXPECT_TRUE(Eventually([&] {
        return Count(each.name, "The store does not answer.") >
               Count(each.name, "The store answers again.");
      })) << Log(each.name);
    }
  }
  std::size_t Count(const std::string& name, const std::string& message) const {
    const std::string log = Log(name);
    std::size_t count = 0;
    for (std::size_t at = 0; (at = log.find(message, at)) != std::string::npos;
         at = log.find('\n', at)) {
      const std::string line = log.substr(at, log.find('\n', at) - at);
      count += line.find("\"kind\":\"servers\"") != std::string::npos ? 1 : 0;
    }
    return count;
  }
  void AwaitContact(const host& gateway) {
    EXPECT_TRUE(Eventually([&] {
      return Count(gateway.name, "The store answers again.") >=
             Count(gateway.name, "The store does not answer.");
    })) << Log(gateway.name);
  }
  int Ask(const host& gateway) {
    const std::string id = "ask-" + std::to_string(++requests_);
    return client()
        .Stream(gateway.front, Request("POST", "/ask/1", id, "hello"))
        .status;
  }
  void ExpectServes(const host& gateway, seconds period) {
    const auto end = steady_clock::now() + period;
    while (steady_clock::now() < end) {
      ASSERT_EQ(Ask(gateway), 200) << Log(gateway.name);
    }
  }
  void Register(std::size_t number) {
    RegisterEngine("engine-" + std::to_string(number), engine_address(number),
                   "ready");
  }
  void Erase(std::size_t number) {
    store().Erase("servers", "engine-" + std::to_string(number));
  }

  int requests_ = 0;
};

// A host that was away learns of the expiry and of the return in one answer; it
// must not tell its peers of the expiry alone, as they then have no server.
TEST_F(returning_entries, OfAllServersAreKeptWhenAHostLearnsOfThemLate) {
  const host late = StartGateway("g1");
  const host current = StartGateway("g2");
  CutOff({late, current});
  late.process->Signal(SIGSTOP);
  store().SetCondition(platform_store::condition::serving);
  AwaitContact(current);
  for (std::size_t number = 0; number < engines().size(); ++number) {
    Erase(number);
  }
  EXPECT_TRUE(Eventually([&] {
    return Logged("g2", "The entry of a backend server was removed.",
                  "engine-1");
  })) << Log("g2");
  for (std::size_t number = 0; number < engines().size(); ++number) {
    Register(number);
  }
  EXPECT_TRUE(Eventually([&] {
    return Logged("g2", "A backend server's entry changed.", "engine-1");
  })) << Log("g2");
  store().Put("other-kind", "any", boost::json::object{});
  late.process->Signal(SIGCONT);
  AwaitContact(late);
  ExpectServes(current, kRemovalShows);
  ExpectServes(late, seconds(1));
}

class orders_of_entries : public returning_entries {
 protected:
  orders_of_entries() : returning_entries(3) {}

  /// \returns whether requests to \p gateway reach just the engines \p wanted.
  bool ReachesJust(const host& gateway, const std::vector<bool>& wanted) {
    std::vector<std::size_t> before;
    for (auto* engine : engines()) {
      before.push_back(engine->arrivals().size());
    }
    constexpr int kRequests = 30;
    for (int i = 0; i < kRequests; ++i) {
      Ask(gateway);
    }
    for (std::size_t i = 0; i < wanted.size(); ++i) {
      if ((engines()[i]->arrivals().size() > before[i]) != wanted[i]) {
        return false;
      }
    }
    return true;
  }
};

// Whatever the order in which hosts hear of removals and returns, each must end
// with the servers that the store lists, and with no other.
TEST_F(orders_of_entries, EndWithTheServersThatTheStoreLists) {
  const std::vector<host> gateways{StartGateway("g1"), StartGateway("g2"),
                                   StartGateway("g3")};
  std::mt19937 random(1);
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  std::vector<bool> listed(engines().size(), true);
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    if (pick(2) == 0) {
      CutOff(gateways);
    }
    const host& late = gateways[pick(gateways.size())];
    late.process->Signal(SIGSTOP);
    store().SetCondition(platform_store::condition::serving);
    for (int change = 0; change < 8; ++change) {
      const std::size_t number = pick(engines().size());
      listed[number] = !listed[number];
      if (listed[number]) {
        Register(number);
      } else {
        Erase(number);
      }
      if (pick(3) == 0) {
        // Lets the hosts that hear the store see what stands now.
        std::this_thread::sleep_for(milliseconds(150));
      }
    }
    if (std::ranges::none_of(listed, [](bool is) { return is; })) {
      Register(0);
      listed[0] = true;
    }
    store().Put("other-kind", std::to_string(round), boost::json::object{});
    late.process->Signal(SIGCONT);
    for (const host& gateway : gateways) {
      EXPECT_TRUE(Eventually([&] { return ReachesJust(gateway, listed); },
                             kCurrentAgain))
          << "round " << round << "\n"
          << Log(gateway.name);
    }
  }
}

}  // namespace
}  // namespace cardamomyard
