#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "cardamomyard/routing.h"

namespace cardamomyard {
namespace {

constexpr wall_time kStart{std::chrono::hours(1)};
using std::chrono::milliseconds;
using std::chrono::seconds;

// Hosts must end with equal tables when messages arrive late, twice or in
// another order.
TEST(CrashSuspectsTest, MergeIgnoresOrderAndRepetition) {
  rc::check([] {
    std::vector<suspect_entry> entries;
    entries.reserve(12);
    for (int i = 0; i < 12; ++i) {
      entries.push_back({*rc::gen::inRange<request_fingerprint>(0, 4),
                         *rc::gen::inRange<std::uint32_t>(0, 3),
                         static_cast<suspect_state>(*rc::gen::inRange(0, 4)),
                         kStart + seconds(*rc::gen::inRange(0, 5))});
    }
    crash_suspects first;
    crash_suspects second;
    for (const auto& entry : entries) {
      first.Merge(entry, kStart);
    }
    for (int i = 0; i < 2; ++i) {
      std::reverse(entries.begin(), entries.end());
      for (const auto& entry : entries) {
        second.Merge(entry, kStart);
      }
    }
    auto a = first.Entries(kStart);
    auto b = second.Entries(kStart);
    std::sort(a.begin(), a.end());
    std::sort(b.begin(), b.end());
    RC_ASSERT(a == b);
  });
}

// The table must not grow without bound, suspects must not evict a quarantined
// entry, and a quarantine must expire.
TEST(CrashSuspectsTest, TableIsBoundedAndExpires) {
  crash_suspects table(64);
  table.RecordQuarantined(1, kStart);
  for (request_fingerprint i = 2; i < 500; ++i) {
    table.RecordServerCrash(std::vector<request_fingerprint>{i, i + 1000},
                            false, kStart);
    ASSERT_LE(table.size(), 64U);
  }
  EXPECT_EQ(table.Decide(1, kStart), suspect_decision::refuse);
  EXPECT_EQ(table.Decide(1, kStart + std::chrono::hours(1)),
            suspect_decision::run_normally);
}

// A host failure must not quarantine the request that happened to run alone,
// and lost claim holders must not allow isolated runs without end.
TEST(CrashSuspectsTest, Rule14_PartThatOnlyCrashedRequestsHaveIsQuarantined) {
  constexpr request_fingerprint kShared = 1;
  constexpr request_fingerprint kCrashing = 2;
  const wall_time now{};
  crash_suspects host;
  crash_suspects peer;
  host.RecordPartCompletion(kShared, now);
  for (std::uint32_t i = 0; i < crash_suspects::kPartCrashes; ++i) {
    EXPECT_NE(host.Decide(kCrashing, now), suspect_decision::refuse);
    host.RecordPartCrash(kShared, now);
    host.RecordPartCrash(kCrashing, now);
  }
  EXPECT_NE(host.Decide(kShared, now), suspect_decision::refuse);
  EXPECT_EQ(host.Decide(kCrashing, now), suspect_decision::refuse);
  for (const suspect_entry& entry : host.Entries(now)) {
    peer.Merge(entry, now);
  }
  EXPECT_EQ(peer.Decide(kCrashing, now), suspect_decision::refuse);

  // A part that is accused first and completed afterwards is cleared.
  crash_suspects other;
  other.RecordPartCrash(kShared, now);
  other.RecordPartCompletion(kShared, now);
  for (int i = 0; i < 10; ++i) {
    other.RecordPartCrash(kShared, now);
  }
  EXPECT_NE(other.Decide(kShared, now), suspect_decision::refuse);
}

TEST(CrashSuspectsTest, FirstCrashOfALoneRequestDoesNotQuarantine) {
  crash_suspects table;
  table.RecordServerCrash(std::vector<request_fingerprint>{7}, false, kStart);
  EXPECT_EQ(table.Decide(7, kStart), suspect_decision::run_isolated);
  std::optional<suspect_claim> claim;
  wall_time now = kStart;
  for (int run = 0; run < 2; ++run, now += seconds(60)) {
    const auto decision = DecideClaim(claim, "host", 0, now, seconds(30));
    ASSERT_TRUE(std::holds_alternative<claim_granted>(decision));
    claim = std::get<claim_granted>(decision).record;
    EXPECT_TRUE(std::holds_alternative<claim_held>(
        DecideClaim(claim, "other", 0, now, seconds(30))));
  }
  EXPECT_TRUE(std::holds_alternative<claim_quarantined>(
      DecideClaim(claim, "other", 0, now, seconds(30))));
}

// Simulation of entry hosts with a table each, whose messages take up to
// kMaxDelay ticks, and of a claim store with outages.
class simulated_fleet {
 public:
  simulated_fleet(std::uint64_t seed, bool protection)
      : random_(seed), protection_(protection) {}

  void Run(int ticks) {
    for (int i = 0; i < ticks; ++i) {
      store_up_ = random_() % 200 == 0 ? !store_up_ : store_up_;
      for (int sent = 0; sent < 2; ++sent) {
        const std::size_t host = random_() % kHosts;
        const bool bad = random_() % 5 == 0;
        Submit(host, bad ? random_() % kBadRequests
                         : kBadRequests + random_() % kGoodRequests);
      }
      if (i == kHostReplacementTick) {
        ReplaceHost(random_() % kHosts);
      }
      Tick();
    }
    store_up_ = true;
    // Only good requests at the end, so that innocent suspects can be cleared.
    for (int i = 0; i < 6000; ++i) {
      Submit(random_() % kHosts, kBadRequests + random_() % kGoodRequests);
      Tick();
    }
  }

  /// Most servers that one bad request crashed after all hosts had learned of
  /// its first crash.
  int MaxLateCrashes() const {
    int worst = 0;
    for (const auto& [fingerprint, crashes] : late_crashes_) {
      worst = std::max(worst, crashes);
    }
    return worst;
  }
  int total_crashes() const { return total_crashes_; }
  int answered_good() const { return answered_good_; }
  int CountGoodSuspects() const {
    int count = 0;
    for (const auto& table : tables_) {
      for (request_fingerprint fingerprint = kBadRequests;
           fingerprint < kBadRequests + kGoodRequests; ++fingerprint) {
        count +=
            table.Decide(fingerprint, now_) != suspect_decision::run_normally;
      }
    }
    return count;
  }

 private:
  static constexpr std::size_t kHosts = 4;
  static constexpr std::size_t kServers = 24;
  static constexpr request_fingerprint kBadRequests = 3;
  static constexpr request_fingerprint kGoodRequests = 12;
  static constexpr int kMaxDelay = 5;
  static constexpr int kRestartTicks = 20;
  static constexpr int kHostReplacementTick = 300;

  struct run {
    request_fingerprint fingerprint;
    std::size_t host;
    int incarnation;
    int end_tick;
    bool late;
  };
  struct server {
    std::vector<run> runs;
    std::optional<suspect_claim> isolated;
    int up_at_tick = 0;
  };
  struct message {
    int deliver_tick;
    std::size_t to;
    suspect_entry entry;
  };

  void Broadcast(std::size_t from, const suspect_entry& entry) {
    for (std::size_t to = 0; to < kHosts; ++to) {
      if (to != from) {
        const int delay = 1 + static_cast<int>(random_() % kMaxDelay);
        messages_.push_back({tick_ + delay, to, entry});
      }
    }
  }

  void ReplaceHost(std::size_t host) {
    // A replacement host starts with the entries of a peer.
    tables_[host] = crash_suspects();
    for (const auto& entry : tables_[(host + 1) % kHosts].Entries(now_)) {
      tables_[host].Merge(entry, now_);
    }
    ++incarnations_[host];
  }

  void Submit(std::size_t host, request_fingerprint fingerprint) {
    const auto decision = protection_ ? tables_[host].Decide(fingerprint, now_)
                                      : suspect_decision::run_normally;
    if (decision == suspect_decision::refuse) {
      return;
    }
    const bool needs_isolation = decision == suspect_decision::run_isolated;
    const std::size_t start = random_() % kServers;
    for (std::size_t i = 0; i < kServers; ++i) {
      server& chosen = servers_[(start + i) % kServers];
      if (chosen.up_at_tick > tick_ || chosen.isolated ||
          (needs_isolation && !chosen.runs.empty())) {
        continue;
      }
      if (needs_isolation && !Claim(host, fingerprint, chosen)) {
        return;
      }
      const auto known = first_crash_.find(fingerprint);
      const bool late =
          known != first_crash_.end() && tick_ > known->second + kMaxDelay;
      chosen.runs.push_back({fingerprint, host, incarnations_[host],
                             tick_ + 2 + static_cast<int>(random_() % 6),
                             late});
      return;
    }
  }

  bool Claim(std::size_t host,
             request_fingerprint fingerprint,
             server& chosen) {
    if (!store_up_) {
      return false;
    }
    auto& stored = claims_[fingerprint];
    const auto decision = DecideClaim(stored, std::to_string(host),
                                      tables_[host].Round(fingerprint, now_),
                                      now_, milliseconds(20));
    if (const auto* granted = std::get_if<claim_granted>(&decision)) {
      stored = chosen.isolated = granted->record;
      Broadcast(host, tables_[host].RecordIsolatedRun(fingerprint, now_));
      return true;
    }
    if (std::holds_alternative<claim_quarantined>(decision)) {
      Broadcast(host, tables_[host].RecordQuarantined(fingerprint, now_));
    } else if (std::holds_alternative<claim_cleared>(decision)) {
      Broadcast(host, tables_[host].RecordCleared(fingerprint, now_));
    }
    return false;
  }

  // The entry host records the end of the run, unless it was replaced
  // meanwhile.
  void EndIsolated(server& ended, const run& last, bool survived) {
    if (incarnations_[last.host] == last.incarnation) {
      claims_[last.fingerprint] = EndClaim(*ended.isolated, survived, now_);
      if (survived) {
        Broadcast(last.host,
                  tables_[last.host].RecordCleared(last.fingerprint, now_));
      }
    }
  }

  void CrashServer(server& crashed, const run& cause) {
    ++total_crashes_;
    late_crashes_[cause.fingerprint] += cause.late ? 1 : 0;
    first_crash_.emplace(cause.fingerprint, tick_);
    std::vector<request_fingerprint> running;
    for (const run& each : crashed.runs) {
      running.push_back(each.fingerprint);
    }
    if (crashed.isolated) {
      EndIsolated(crashed, cause, false);
    }
    if (incarnations_[cause.host] == cause.incarnation) {
      for (const auto& entry : tables_[cause.host].RecordServerCrash(
               running, crashed.isolated.has_value(), now_)) {
        Broadcast(cause.host, entry);
      }
    }
    crashed = server{{}, {}, tick_ + kRestartTicks};
  }

  void Tick() {
    ++tick_;
    now_ += milliseconds(1);
    std::erase_if(messages_, [&](const message& each) {
      if (each.deliver_tick <= tick_) {
        tables_[each.to].Merge(each.entry, now_);
      }
      return each.deliver_tick <= tick_;
    });
    for (server& each : servers_) {
      const auto cause = std::find_if(
          each.runs.begin(), each.runs.end(), [&](const run& running) {
            return running.fingerprint < kBadRequests &&
                   running.end_tick <= tick_;
          });
      if (cause != each.runs.end()) {
        CrashServer(each, run(*cause));
        continue;
      }
      std::erase_if(each.runs, [&](const run& running) {
        if (running.end_tick > tick_) {
          return false;
        }
        if (each.isolated) {
          EndIsolated(each, running, true);
          each.isolated.reset();
        }
        ++answered_good_;
        return true;
      });
    }
  }

  std::mt19937_64 random_;
  bool protection_;
  bool store_up_ = true;
  int tick_ = 0;
  wall_time now_ = kStart;
  std::vector<crash_suspects> tables_ = std::vector<crash_suspects>(kHosts);
  std::vector<int> incarnations_ = std::vector<int>(kHosts);
  std::vector<server> servers_ = std::vector<server>(kServers);
  std::map<request_fingerprint, std::optional<suspect_claim>> claims_;
  std::vector<message> messages_;
  std::map<request_fingerprint, int> first_crash_;
  std::map<request_fingerprint, int> late_crashes_;
  int total_crashes_ = 0;
  int answered_good_ = 0;
};

// A poison request must not keep crashing servers, and innocent requests must
// not stay suspect or quarantined. After all hosts know of its first crash, a
// bad request may crash one more server, and a second one when a claim holder
// is lost.
TEST(CrashSuspectsTest, Rule14_BadRequestCostsBoundedServers) {
  int violations_unprotected = 0;
  int crashes_protected = 0;
  int crashes_unprotected = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    simulated_fleet protected_fleet(seed, true);
    protected_fleet.Run(1000);
    EXPECT_LE(protected_fleet.MaxLateCrashes(), 2) << "seed " << seed;
    EXPECT_EQ(protected_fleet.CountGoodSuspects(), 0) << "seed " << seed;
    EXPECT_GT(protected_fleet.answered_good(), 2000) << "seed " << seed;
    crashes_protected += protected_fleet.total_crashes();
    simulated_fleet unprotected_fleet(seed, false);
    unprotected_fleet.Run(1000);
    violations_unprotected += unprotected_fleet.MaxLateCrashes() > 2;
    crashes_unprotected += unprotected_fleet.total_crashes();
  }
  RecordProperty("servers_lost_with", crashes_protected);
  RecordProperty("servers_lost_without", crashes_unprotected);
  // Without protection, every seed exceeds the bound.
  EXPECT_EQ(violations_unprotected, 60);
}

}  // namespace
}  // namespace cardamomyard
