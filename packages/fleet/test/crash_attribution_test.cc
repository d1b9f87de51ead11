#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kShared = 1;
constexpr std::uint64_t kCrashing = 2;
constexpr std::uint64_t kSession = 3;

class crash_attribution_test : public ::testing::Test {
 protected:
  crash_attribution Make(const std::string& self) {
    return crash_attribution(self, [this] { return gateways_; });
  }
  /// A crash, and the time in which others may clear what it accuses.
  void Crash(crash_attribution& host, const crash_suspect& suspect) {
    host.RecordCrash("server-" + std::to_string(++crashes_), {suspect},
                     clock_.Now());
    clock_.Advance(crash_attribution::kSettleTime);
    host.Decide(clock_.Now());
  }
  bool Refuses(crash_attribution& host, const crash_suspect& suspect) {
    return host.Admit(suspect, clock_.Now()) == crash_admission::refuse;
  }
  void Exchange(const crash_attribution& from, crash_attribution& to) {
    to.Merge(from.RecentCrashes(clock_.Now()), from.Verdicts(clock_.Now()),
             clock_.Now());
  }

  manual_clock clock_;
  std::vector<std::string> gateways_{"a", "b"};
  int crashes_ = 0;
};

TEST_F(crash_attribution_test, Rule14_RequestIsRefusedAfterThreeServers) {
  crash_attribution host = Make("a");
  const crash_suspect request{7, {}};
  host.RecordCrash("s", {request}, clock_.Now());
  clock_.Advance(seconds(1));
  host.RecordCrash("s", {request}, clock_.Now());
  clock_.Advance(seconds(1));
  Crash(host, request);
  EXPECT_FALSE(Refuses(host, request));
  Crash(host, request);
  EXPECT_TRUE(Refuses(host, request));
  EXPECT_FALSE(Refuses(host, {8, {}}));
  host.RecordCompletion(request, clock_.Now());
  EXPECT_FALSE(Refuses(host, request));
}

TEST_F(crash_attribution_test, PartThatOnlyCrashedRequestsShareIsRefused) {
  crash_attribution host = Make("a");
  for (std::uint64_t request = 10; request < 13; ++request) {
    Crash(host, {request, {kShared, kCrashing}});
    host.RecordCompletion({request + 10, {kShared, kSession}}, clock_.Now());
  }
  EXPECT_TRUE(Refuses(host, {30, {kShared, kCrashing}}));
  EXPECT_FALSE(Refuses(host, {31, {kShared, kSession}}));
}

TEST_F(crash_attribution_test, CrashesUnderRequestsOfSeveralGatewaysAddUp) {
  crash_attribution a = Make("a");
  crash_attribution b = Make("b");
  for (std::uint64_t request = 10; request < 13; ++request) {
    Crash(request % 2 == 0 ? a : b, {request, {kCrashing}});
    Exchange(a, b);
    Exchange(b, a);
  }
  a.Decide(clock_.Now());
  EXPECT_TRUE(Refuses(a, {30, {kCrashing}}));

  crash_attribution restarted = Make("b");
  Exchange(a, restarted);
  EXPECT_TRUE(Refuses(restarted, {31, {kCrashing}}));
}

TEST_F(crash_attribution_test, ServersThatCrashTogetherAccuseNoRequest) {
  crash_attribution host = Make("a");
  for (int server = 0; server < 12; ++server) {
    host.RecordCrash("s" + std::to_string(server),
                     {{static_cast<std::uint64_t>(100 + server), {kShared}}},
                     clock_.Now());
    clock_.Advance(milliseconds(1));
  }
  clock_.Advance(crash_attribution::kSettleTime);
  EXPECT_TRUE(host.Decide(clock_.Now()).empty());
  EXPECT_FALSE(Refuses(host, {200, {kShared}}));
}

TEST_F(crash_attribution_test, OneGatewayTriesARefusedPartAgain) {
  crash_attribution a = Make("a");
  crash_attribution b = Make("b");
  for (std::uint64_t request = 10; request < 13; ++request) {
    Crash(a, {request, {kCrashing}});
  }
  Exchange(a, b);
  clock_.Advance(seconds(5));
  int trials = 0;
  for (std::uint64_t request = 20; request < 40; ++request) {
    for (crash_attribution* host : {&a, &b}) {
      trials += Refuses(*host, {request, {kCrashing}}) ? 0 : 1;
    }
    Exchange(a, b);
    Exchange(b, a);
  }
  EXPECT_EQ(trials, 1);

  // The trial was answered, so the verdict was wrong.
  a.RecordCompletion({20, {kCrashing}}, clock_.Now());
  Exchange(a, b);
  EXPECT_FALSE(Refuses(b, {41, {kCrashing}}));
  Exchange(b, a);
  EXPECT_FALSE(Refuses(a, {42, {kCrashing}}));
}

TEST_F(crash_attribution_test, TrialThatNoServerRanIsRepeatedSoon) {
  crash_attribution host = Make("a");
  gateways_ = {"a"};
  const crash_suspect request{7, {}};
  for (int i = 0; i < 3; ++i) {
    Crash(host, request);
  }
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(Refuses(host, request));
    clock_.Advance(seconds(3));
    EXPECT_EQ(host.Admit(request, clock_.Now()), crash_admission::trial);
    host.CancelTrial(request);
  }
}

// Load: 50 requests a second at five gateways, one in twenty with a part that
// crashes its server; each session has a part of its own. Digests take 50 ms.
TEST(CrashAttributionLoad, FewServersCrashAndSoundSessionsAreServed) {
  constexpr int kGateways = 5;
  constexpr int kServers = 12;
  constexpr int kSessions = 20;
  constexpr milliseconds kStep{5};
  constexpr milliseconds kBeginTime{60};
  constexpr milliseconds kAnswerTime{300};
  constexpr milliseconds kDowntime{3000};
  struct running {
    crash_suspect suspect;
    int gateway;
    int server;
    time_point begins;
    time_point ends;
    bool crashes;
  };
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    manual_clock clock;
    std::mt19937_64 random(seed);
    const auto draw = [&random](int below) {
      return static_cast<int>(random() % static_cast<std::uint64_t>(below));
    };
    std::vector<std::string> names;
    names.reserve(kGateways);
    for (int i = 0; i < kGateways; ++i) {
      names.push_back("g" + std::to_string(i));
    }
    std::vector<std::unique_ptr<crash_attribution>> hosts;
    hosts.reserve(kGateways);
    for (const std::string& name : names) {
      hosts.push_back(std::make_unique<crash_attribution>(
          name, [&names] { return names; }));
    }
    std::vector<time_point> down_until(kServers, clock.Now());
    std::deque<running> active;
    int crashes = 0;
    int sound = 0;
    int sound_refused = 0;
    std::uint64_t next_request = 1000;
    const time_point start = clock.Now();
    for (int step = 0; clock.Now() - start < seconds(30); ++step) {
      clock.Advance(kStep);
      const time_point now = clock.Now();
      if (step % 10 == 0) {
        for (const auto& from : hosts) {
          for (const auto& to : hosts) {
            if (from != to) {
              to->Merge(from->RecentCrashes(now), from->Verdicts(now), now);
            }
          }
        }
      }
      if (draw(4) == 0) {
        const bool deadly = draw(20) == 0;
        const int gateway = draw(kGateways);
        const int server = draw(kServers);
        crash_suspect suspect{
            ++next_request,
            {kShared, static_cast<std::uint64_t>(100 + draw(kSessions))}};
        if (deadly) {
          suspect.parts.push_back(kCrashing);
        }
        hosts[gateway]->Decide(now);
        const bool refused =
            hosts[gateway]->Admit(suspect, now) == crash_admission::refuse;
        sound += deadly ? 0 : 1;
        sound_refused += !deadly && refused ? 1 : 0;
        if (!refused && now >= down_until[server]) {
          active.push_back({suspect, gateway, server, now + kBeginTime,
                            now + kAnswerTime, deadly});
        }
      }
      for (std::size_t i = 0; i < active.size(); ++i) {
        if (!active[i].crashes || now < active[i].begins) {
          continue;
        }
        const int server = active[i].server;
        ++crashes;
        down_until[server] = now + kDowntime;
        std::map<int, std::vector<crash_suspect>> accused;
        std::erase_if(active, [&](const running& each) {
          if (each.server != server) {
            return false;
          }
          if (now < each.begins + kStep) {
            accused[each.gateway].push_back(each.suspect);
          }
          return true;
        });
        for (const auto& [gateway, suspects] : accused) {
          hosts[gateway]->RecordCrash(
              "s" + std::to_string(server) + "-" + std::to_string(crashes),
              suspects, now);
        }
        break;
      }
      std::erase_if(active, [&](const running& each) {
        if (now < each.ends) {
          return false;
        }
        hosts[each.gateway]->RecordCompletion(each.suspect, now);
        return true;
      });
    }
    // Five may be needed as proof; one is a trial, and some are on their way.
    EXPECT_LE(crashes, 8) << "seed " << seed;
    EXPECT_LE(sound_refused, sound / 50) << "seed " << seed;
  }
}

}  // namespace
}  // namespace cardamomyard
