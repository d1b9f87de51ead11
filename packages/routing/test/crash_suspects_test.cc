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

// Guards against hosts that end with different tables because messages came
// late, twice or in another order.
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

// Guards against unbounded memory, a conviction pushed out by suspects, and a
// conviction that never ends.
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

// Guards against a host failure that blames the request that happened to be
// alone, and against endless isolated runs when claim holders die.
TEST(CrashSuspectsTest, LoneFirstCrashIsNoConviction) {
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

// A fleet of entry hosts with own tables, whose messages take up to kMaxDelay
// ticks, and a claim store that is down now and then.
class fleet {
 public:
  fleet(std::uint64_t seed, bool protect) : random_(seed), protect_(protect) {}

  void Run(int ticks) {
    for (int i = 0; i < ticks; ++i) {
      store_up_ = random_() % 200 == 0 ? !store_up_ : store_up_;
      for (int sent = 0; sent < 2; ++sent) {
        const std::size_t host = random_() % kHosts;
        const bool bad = random_() % 5 == 0;
        Submit(host, bad ? random_() % kBad : kBad + random_() % kGood);
      }
      if (i == kHostLossTick) {
        LoseHost(random_() % kHosts);
      }
      Tick();
    }
    store_up_ = true;
    // Quiet end: only good requests, so that bystanders can be cleared.
    for (int i = 0; i < 6000; ++i) {
      Submit(random_() % kHosts, kBad + random_() % kGood);
      Tick();
    }
  }

  /// Servers that a bad request cost after every host knew its first crash.
  int WorstLateLosses() const {
    int worst = 0;
    for (const auto& [print, losses] : late_losses_) {
      worst = std::max(worst, losses);
    }
    return worst;
  }
  int total_losses() const { return total_losses_; }
  int answered_good() const { return answered_good_; }
  int good_not_normal() const {
    int count = 0;
    for (const auto& table : tables_) {
      for (request_fingerprint print = kBad; print < kBad + kGood; ++print) {
        count += table.Decide(print, now_) != suspect_decision::run_normally;
      }
    }
    return count;
  }

 private:
  static constexpr std::size_t kHosts = 4;
  static constexpr std::size_t kServers = 24;
  static constexpr request_fingerprint kBad = 3;
  static constexpr request_fingerprint kGood = 12;
  static constexpr int kMaxDelay = 5;
  static constexpr int kRestartTicks = 20;
  static constexpr int kHostLossTick = 300;

  struct run {
    request_fingerprint print;
    std::size_t host;
    int host_life;
    int ends;
    bool late;
  };
  struct server {
    std::vector<run> runs;
    std::optional<suspect_claim> isolated;
    int up_at = 0;
  };
  struct message {
    int at;
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

  void LoseHost(std::size_t host) {
    // A new host starts from the table of a peer.
    tables_[host] = crash_suspects();
    for (const auto& entry : tables_[(host + 1) % kHosts].Entries(now_)) {
      tables_[host].Merge(entry, now_);
    }
    ++lives_[host];
  }

  void Submit(std::size_t host, request_fingerprint print) {
    const auto decision = protect_ ? tables_[host].Decide(print, now_)
                                   : suspect_decision::run_normally;
    if (decision == suspect_decision::refuse) {
      return;
    }
    const bool alone = decision == suspect_decision::run_isolated;
    const std::size_t start = random_() % kServers;
    for (std::size_t i = 0; i < kServers; ++i) {
      server& chosen = servers_[(start + i) % kServers];
      if (chosen.up_at > tick_ || chosen.isolated ||
          (alone && !chosen.runs.empty())) {
        continue;
      }
      if (alone && !Claim(host, print, chosen)) {
        return;
      }
      const auto known = first_crash_.find(print);
      const bool late =
          known != first_crash_.end() && tick_ > known->second + kMaxDelay;
      chosen.runs.push_back({print, host, lives_[host],
                             tick_ + 2 + static_cast<int>(random_() % 6),
                             late});
      return;
    }
  }

  bool Claim(std::size_t host, request_fingerprint print, server& chosen) {
    if (!store_up_) {
      return false;
    }
    auto& stored = claims_[print];
    const auto decision =
        DecideClaim(stored, std::to_string(host),
                    tables_[host].Round(print, now_), now_, milliseconds(20));
    if (const auto* granted = std::get_if<claim_granted>(&decision)) {
      stored = chosen.isolated = granted->record;
      Broadcast(host, tables_[host].RecordIsolatedRun(print, now_));
      return true;
    }
    if (std::holds_alternative<claim_quarantined>(decision)) {
      Broadcast(host, tables_[host].RecordQuarantined(print, now_));
    } else if (std::holds_alternative<claim_cleared>(decision)) {
      Broadcast(host, tables_[host].RecordCleared(print, now_));
    }
    return false;
  }

  // The entry host learns the end of its own run, unless it was lost.
  void EndIsolated(server& ended, const run& last, bool survived) {
    if (lives_[last.host] == last.host_life) {
      claims_[last.print] = EndClaim(*ended.isolated, survived, now_);
      if (survived) {
        Broadcast(last.host,
                  tables_[last.host].RecordCleared(last.print, now_));
      }
    }
  }

  void Die(server& dead, const run& cause) {
    ++total_losses_;
    late_losses_[cause.print] += cause.late ? 1 : 0;
    first_crash_.emplace(cause.print, tick_);
    std::vector<request_fingerprint> running;
    for (const run& each : dead.runs) {
      running.push_back(each.print);
    }
    if (dead.isolated) {
      EndIsolated(dead, cause, false);
    }
    if (lives_[cause.host] == cause.host_life) {
      for (const auto& entry : tables_[cause.host].RecordServerCrash(
               running, dead.isolated.has_value(), now_)) {
        Broadcast(cause.host, entry);
      }
    }
    dead = server{{}, {}, tick_ + kRestartTicks};
  }

  void Tick() {
    ++tick_;
    now_ += milliseconds(1);
    std::erase_if(messages_, [&](const message& each) {
      if (each.at <= tick_) {
        tables_[each.to].Merge(each.entry, now_);
      }
      return each.at <= tick_;
    });
    for (server& each : servers_) {
      const auto cause = std::find_if(
          each.runs.begin(), each.runs.end(), [&](const run& running) {
            return running.print < kBad && running.ends <= tick_;
          });
      if (cause != each.runs.end()) {
        Die(each, run(*cause));
        continue;
      }
      std::erase_if(each.runs, [&](const run& running) {
        if (running.ends > tick_) {
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
  bool protect_;
  bool store_up_ = true;
  int tick_ = 0;
  wall_time now_ = kStart;
  std::vector<crash_suspects> tables_ = std::vector<crash_suspects>(kHosts);
  std::vector<int> lives_ = std::vector<int>(kHosts);
  std::vector<server> servers_ = std::vector<server>(kServers);
  std::map<request_fingerprint, std::optional<suspect_claim>> claims_;
  std::vector<message> messages_;
  std::map<request_fingerprint, int> first_crash_;
  std::map<request_fingerprint, int> late_losses_;
  int total_losses_ = 0;
  int answered_good_ = 0;
};

// Guards against a request that keeps killing servers, and against innocent
// requests that stay suspect or convicted. After all hosts know the first
// crash a bad request may cost one server, and a second one when a claim
// holder is lost.
TEST(CrashSuspectsTest, Rule14_BadRequestCostsBoundedServers) {
  int violations_without = 0;
  int losses_with = 0;
  int losses_without = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    fleet with(seed, true);
    with.Run(1000);
    EXPECT_LE(with.WorstLateLosses(), 2) << "seed " << seed;
    EXPECT_EQ(with.good_not_normal(), 0) << "seed " << seed;
    EXPECT_GT(with.answered_good(), 2000) << "seed " << seed;
    losses_with += with.total_losses();
    fleet without(seed, false);
    without.Run(1000);
    violations_without += without.WorstLateLosses() > 2;
    losses_without += without.total_losses();
  }
  RecordProperty("servers_lost_with", losses_with);
  RecordProperty("servers_lost_without", losses_without);
  EXPECT_EQ(violations_without, 60);  // The oracle sees a missing mechanism.
}

}  // namespace
}  // namespace cardamomyard
