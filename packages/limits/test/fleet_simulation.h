#ifndef CARDAMOMYARD_LIMITS_TEST_FLEET_SIMULATION_H_
#define CARDAMOMYARD_LIMITS_TEST_FLEET_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/limits.h"

namespace cardamomyard {

struct simulation_settings {
  limiter_settings limiter;
  int hosts = 5;
  bool faults = true;
  bool check_contact = true;      // off: every host believes it has contact
  bool majority_confirms = true;  // off: each host confirms what it knows
  bool only_first_host = false;
  // Callers offer only what a single bucket with this fraction of rate and
  // burst admits; 0: callers are not paced.
  double paced_fraction = 0;
  double load_factor = 2;     // offered requests, as a multiple of the rate
  bool store_outage = false;  // from one second after the start to the end
  duration length = std::chrono::seconds(150);
};

/// \brief Simulates hosts, store and messages on a virtual clock with faults
/// drawn from a seed. The oracle, which no host uses, is one bucket per
/// account; each admission that it lacks a token for counts as a violation.
class fleet_simulation {
 public:
  fleet_simulation(std::uint64_t seed, simulation_settings settings)
      : settings_(settings),
        random_(seed),
        hosts_(settings.hosts),
        naive_(settings.hosts, naive_limiter(settings.hosts)) {
    for (int i = 0; i < settings_.hosts; ++i) {
      table_.hosts.push_back(Name(i));
    }
    table_.epoch = 1;
    for (const auto& [account, limits] : *accounts_) {
      const double fraction =
          settings_.paced_fraction > 0 ? settings_.paced_fraction : 1;
      single_buckets_.emplace(account,
                              token_bucket({fraction * limits.rate_per_second,
                                            fraction * limits.burst},
                                           limits.burst, now_));
      for (naive_limiter& n : naive_) {
        n.SetAccount(account, limits, now_);
      }
    }
    for (int i = 0; i < settings_.hosts; ++i) {
      StartHost(i,
                settings_.faults ? table_origin::found : table_origin::created);
    }
  }

  void Run() {
    using std::chrono::milliseconds;
    const time_point end = now_ + settings_.length;
    Repeat(milliseconds(500), [this] { SendDigests(); });
    Repeat(milliseconds(1000), [this] { ReadStore(); });
    Repeat(milliseconds(5), [this] { GenerateLoad(); });
    if (settings_.store_outage) {
      Schedule(now_ + milliseconds(1000), [this] { store_up_ = false; });
    }
    if (settings_.faults) {
      Repeat(milliseconds(1000), [this] { MaintainTable(); });
      Repeat(milliseconds(1500), [this] { InjectFault(); });
    }
    while (!events_.empty() && events_.top().time <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.time;
      next.run();
    }
  }

  int violations = 0;
  int offered = 0;
  int admitted_count = 0;
  int wrongful_refusals = 0;        // a single bucket would have admitted them
  int naive_wrongful_refusals = 0;  // the same for the equal split
  int table_changes = 0;

 private:
  struct event {
    time_point time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  struct known_versions {
    share_table table;
    std::uint64_t generation = 0;
    std::shared_ptr<const limits_snapshot> accounts;
  };
  struct host_state {
    int incarnation = 0;
    bool alive = false;
    bool store_link_cut = false;
    time_point paused_until = time_point::min();
    std::unique_ptr<account_limiter> limiter;
    contact_monitor monitor;
    known_versions known;
    std::optional<time_point> last_store_read;
    std::map<int, time_point> last_heard;
    std::map<int, std::pair<std::uint64_t, std::uint64_t>> peer_versions;
  };
  struct oracle_bucket {
    double tokens = 0;
    time_point updated;
    std::vector<std::pair<time_point, account_limits>> changes;
  };

  static std::string Name(int i) { return "host-" + std::to_string(i); }
  int RandomBelow(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }
  duration MessageDelay() {
    const bool slow = settings_.faults && Chance(0.05);
    return std::chrono::microseconds(1000 + RandomBelow(slow ? 1500000 : 400));
  }
  void Schedule(time_point time, std::function<void()> run) {
    events_.push({time, ++order_, std::move(run)});
  }
  void Repeat(duration step, const std::function<void()>& run) {
    Schedule(now_ + step, [this, step, run] {
      run();
      Repeat(step, run);
    });
  }

  void StartHost(int i, table_origin origin) {
    host_state& host = hosts_[i];
    const int incarnation = host.incarnation + 1;
    host = host_state{};
    host.incarnation = incarnation;
    host.alive = true;
    host.limiter =
        std::make_unique<account_limiter>(Name(i), settings_.limiter);
    std::set<std::string> others;
    for (int peer = 0; peer < settings_.hosts; ++peer) {
      if (peer != i) {
        others.insert(Name(peer));
        host.last_heard[peer] = now_;
      }
    }
    host.monitor.SetKnownPeers(others);
    if (store_up_) {
      ApplyVersions(i, {table_, generation_, accounts_}, origin);
      host.last_store_read = now_;
      host.monitor.RecordStoreRead(now_);
      UpdateContact(host);
    }
  }

  // Runs at `time`, or after the pause of the host if it is paused then.
  void RunOnHost(int i,
                 int incarnation,
                 time_point time,
                 const std::function<void()>& run) {
    Schedule(time, [this, i, incarnation, run] {
      host_state& host = hosts_[i];
      if (!host.alive || host.incarnation != incarnation) {
        return;
      }
      if (now_ < host.paused_until) {
        RunOnHost(i, incarnation, host.paused_until, run);
      } else {
        run();
      }
    });
  }
  void Send(int from, int to, const std::function<void()>& run) {
    if (!cut_links_.contains({from, to}) && hosts_[to].alive &&
        !(settings_.faults && Chance(0.02))) {
      RunOnHost(to, hosts_[to].incarnation, now_ + MessageDelay(), run);
    }
  }
  bool Running(const host_state& host) const {
    return host.alive && now_ >= host.paused_until;
  }

  void ApplyVersions(int i,
                     const known_versions& versions,
                     table_origin origin = table_origin::found) {
    host_state& host = hosts_[i];
    if (versions.table.epoch > host.known.table.epoch) {
      host.known.table = versions.table;
      host.limiter->SetTable(versions.table, origin, now_);
    }
    if (versions.generation > host.known.generation) {
      host.known.generation = versions.generation;
      host.known.accounts = versions.accounts;
      host.limiter->SetAccounts(versions.generation, versions.accounts, now_);
    }
    if (versions.table.hosts.empty()) {
      return;
    }
    // Confirms the newest versions that a majority is known to have.
    std::vector<std::uint64_t> epochs{host.known.table.epoch};
    std::vector<std::uint64_t> generations{host.known.generation};
    for (const auto& [peer, peer_versions] : host.peer_versions) {
      epochs.push_back(peer_versions.first);
      generations.push_back(peer_versions.second);
    }
    const std::size_t majority = settings_.hosts / 2 + 1;
    if (!settings_.majority_confirms) {
      host.limiter->ConfirmTable(host.known.table.epoch, now_);
      host.limiter->ConfirmAccounts(host.known.generation, now_);
    } else if (epochs.size() >= majority) {
      std::ranges::sort(epochs, std::greater<>());
      std::ranges::sort(generations, std::greater<>());
      host.limiter->ConfirmTable(epochs[majority - 1], now_);
      host.limiter->ConfirmAccounts(generations[majority - 1], now_);
    }
  }
  void ReceiveVersions(int i, int from, const known_versions& versions) {
    host_state& host = hosts_[i];
    host.last_heard[from] = now_;
    auto& versions_of_sender = host.peer_versions[from];
    versions_of_sender = {
        std::max(versions_of_sender.first, versions.table.epoch),
        std::max(versions_of_sender.second, versions.generation)};
    ApplyVersions(i, versions);
  }
  void UpdateContact(host_state& host) {
    const time_point until = settings_.check_contact
                                 ? host.monitor.ContactUntil(now_)
                                 : time_point::max();
    if (until > now_) {
      host.limiter->SetContact(until, now_);
    }
  }

  void SendDigests() {
    for (int i = 0; i < settings_.hosts; ++i) {
      if (!Running(hosts_[i])) {
        continue;
      }
      for (int peer = 0; peer < settings_.hosts; ++peer) {
        if (peer != i) {
          SendDigest(i, peer);
        }
      }
    }
  }
  void SendDigest(int i, int peer) {
    const time_point sent = now_;
    const int incarnation = hosts_[i].incarnation;
    Send(i, peer, [=, this, versions = hosts_[i].known] {
      ReceiveVersions(peer, i, versions);
      const host_state& peer_host = hosts_[peer];
      attestation statement;
      if (peer_host.last_store_read) {
        statement.store_contact_age = now_ - *peer_host.last_store_read;
      }
      statement.store_unreachable = !store_up_ || peer_host.store_link_cut;
      // A restarted process no longer knows which tables it attested.
      statement.excluded_as_evidence =
          !peer_host.last_store_read ||
          !peer_host.monitor.GivesEvidenceFor(Name(i));
      Send(peer, i, [=, this, versions = peer_host.known] {
        if (hosts_[i].incarnation == incarnation) {
          ReceiveVersions(i, peer, versions);
          hosts_[i].monitor.RecordAttestation(Name(peer), statement, sent);
          UpdateContact(hosts_[i]);
        }
      });
    });
  }
  void ReadStore() {
    for (int i = 0; i < settings_.hosts; ++i) {
      host_state& host = hosts_[i];
      if (!Running(host) || host.store_link_cut || !store_up_) {
        continue;
      }
      const time_point sent = now_;
      RunOnHost(
          i, host.incarnation, now_ + MessageDelay(),
          [=, this, versions = known_versions{table_, generation_, accounts_}] {
            ApplyVersions(i, versions);
            host_state& reader = hosts_[i];
            reader.last_store_read =
                std::max(reader.last_store_read.value_or(sent), sent);
            reader.monitor.RecordStoreRead(sent);
            UpdateContact(reader);
          });
    }
  }

  void MaintainTable() {
    const int i = RandomBelow(settings_.hosts);
    const host_state& host = hosts_[i];
    if (!Running(host) || host.store_link_cut || !store_up_) {
      return;
    }
    for (int peer = 0; peer < settings_.hosts; ++peer) {
      const bool listed =
          std::ranges::find(table_.hosts, Name(peer)) != table_.hosts.end();
      if (!listed && peer == i) {
        const auto next = PlanJoin(table_, Name(peer));
        WriteTable(*next);
        for (host_state& other : hosts_) {
          other.monitor.ResumeEvidenceFor(Name(peer));
        }
      } else if (listed && peer != i && Lost(host, peer)) {
        std::set<std::string> agreed;
        for (int voter = 0; voter < settings_.hosts; ++voter) {
          if (voter != peer && Running(hosts_[voter]) &&
              Lost(hosts_[voter], peer)) {
            agreed.insert(Name(voter));
            hosts_[voter].monitor.StopEvidenceFor(Name(peer));
          }
        }
        if (const auto next = PlanRemoval(table_, {Name(peer)}, agreed)) {
          WriteTable(*next);
        }
      }
    }
  }
  bool Lost(const host_state& host, int peer) const {
    const auto it = host.last_heard.find(peer);
    return it != host.last_heard.end() &&
           now_ - it->second > std::chrono::seconds(10);
  }
  void WriteTable(const share_table& next) {
    table_ = next;
    ++table_changes;
  }

  void InjectFault() {
    const int i = RandomBelow(settings_.hosts);
    host_state& host = hosts_[i];
    const auto fault_duration =
        std::chrono::milliseconds(500 + RandomBelow(25000));
    switch (RandomBelow(8)) {
      case 0:
        host.alive = false;
        Schedule(now_ + fault_duration, [=, this] {
          if (!hosts_[i].alive) {
            StartHost(i, table_origin::found);
          }
        });
        break;
      case 1:
        host.paused_until = now_ + fault_duration;
        break;
      case 2:
        host.store_link_cut = !host.store_link_cut;
        break;
      case 3:
        store_up_ = !store_up_;
        break;
      case 4:
        cut_links_.insert({i, RandomBelow(settings_.hosts)});
        break;
      case 5:
        for (int peer = 0; peer < settings_.hosts; ++peer) {
          cut_links_.insert({i, peer});
          cut_links_.insert({peer, i});
        }
        break;
      case 6:
        cut_links_.clear();
        for (host_state& each : hosts_) {
          each.store_link_cut = false;
        }
        store_up_ = true;
        break;
      default:
        if (store_up_) {
          ChangeLimits();
        }
    }
  }
  void ChangeLimits() {
    auto next = std::make_shared<limits_snapshot>(*accounts_);
    account_limits& changed =
        (*next)["account-" + std::to_string(RandomBelow(3))];
    changed = {5.0 + RandomBelow(60), 2.0 + RandomBelow(50)};
    accounts_ = next;
    ++generation_;
    for (const auto& [account, limits] : *accounts_) {
      auto& changes = oracle_[account].changes;
      if (changes.back().second != limits) {
        changes.emplace_back(now_, limits);
      }
    }
  }

  void GenerateLoad() {
    for (const auto& [account, limits] : *accounts_) {
      const double mean =
          settings_.load_factor * limits.rate_per_second * 0.005;
      // The load alternates, so that buckets fill up and full bursts coincide.
      const bool idle =
          settings_.faults &&
          (now_.time_since_epoch() / std::chrono::seconds(1)) % 7 < 4;
      const int count =
          idle ? 0 : std::poisson_distribution<int>(mean)(random_);
      for (int c = 0; c < count; ++c) {
        const int i =
            settings_.only_first_host ? 0 : RandomBelow(settings_.hosts);
        if (Running(hosts_[i])) {
          const bool within_limits = single_buckets_.at(account).Take(1, now_);
          if (!within_limits && settings_.paced_fraction > 0) {
            continue;
          }
          ++offered;
          naive_wrongful_refusals +=
              within_limits && !naive_[i].Admit(account, now_) ? 1 : 0;
          Request(i, account, now_, within_limits, 0);
        }
      }
    }
  }
  void Request(
      int i,
      const std::string& account,
      time_point start,
      bool within_limits,
      std::size_t homes_asked,
      std::vector<std::string> homes = {},
      std::optional<std::chrono::milliseconds> lender_retry_after = {}) {
    const admission answer = hosts_[i].limiter->Admit(account, now_);
    if (std::holds_alternative<admitted>(answer)) {
      ++admitted_count;
      CountAdmission(account);
      return;
    }
    const auto* borrow = std::get_if<must_borrow>(&answer);
    if (borrow && homes_asked == 0) {
      homes = borrow->homes;
    }
    if (!borrow || homes_asked >= homes.size() ||
        now_ - start > std::chrono::milliseconds(150)) {
      // Waits for a token if that takes little time, as the entry host does.
      const auto* refusal = std::get_if<refused>(&answer);
      const auto own_retry_after =
          borrow ? borrow->retry_after : refusal->retry_after;
      const auto wait = lender_retry_after.value_or(own_retry_after);
      if ((borrow || refusal->kind == error_kind::rate_limited) &&
          now_ + wait - start <= std::chrono::milliseconds(150)) {
        RunOnHost(i, hosts_[i].incarnation,
                  now_ + std::max(wait, std::chrono::milliseconds(5)),
                  [=, this] { Request(i, account, start, within_limits, 0); });
        return;
      }
      wrongful_refusals += within_limits ? 1 : 0;
      return;
    }
    const int home = std::stoi(homes[homes_asked].substr(5));
    const time_point sent = now_;
    const int incarnation = hosts_[i].incarnation;
    Send(i, home,
         [=, this, amount = borrow->amount, minimum = borrow->minimum] {
           const loan granted =
               hosts_[home].limiter->Lend(account, amount, minimum, now_);
           Send(home, i, [=, this] {
             if (hosts_[i].incarnation == incarnation) {
               hosts_[i].limiter->Credit(account, granted, sent, now_);
               Request(i, account, start, within_limits, homes_asked + 1, homes,
                       homes.size() == 1 && granted.retry_after.count() > 0
                           ? std::optional(granted.retry_after)
                           : std::nullopt);
             }
           });
         });
  }

  // Hosts may act on older limits for one contact window.
  static account_limits AllowedLimits(const oracle_bucket& bucket,
                                      time_point time) {
    account_limits allowed_limits = bucket.changes.back().second;
    for (std::size_t c = 0; c + 1 < bucket.changes.size(); ++c) {
      if (bucket.changes[c + 1].first + kContactWindow >= time) {
        allowed_limits.rate_per_second =
            std::max(allowed_limits.rate_per_second,
                     bucket.changes[c].second.rate_per_second);
        allowed_limits.burst =
            std::max(allowed_limits.burst, bucket.changes[c].second.burst);
      }
    }
    return allowed_limits;
  }
  void CountAdmission(const std::string& account) {
    oracle_bucket& bucket = oracle_[account];
    constexpr auto kStep = std::chrono::milliseconds(50);
    while (bucket.updated < now_) {
      const time_point to = std::min<time_point>(now_, bucket.updated + kStep);
      // When limits decrease, those at the start of the step are the larger
      // ones.
      const account_limits allowed = AllowedLimits(bucket, bucket.updated);
      const std::chrono::duration<double> elapsed = to - bucket.updated;
      bucket.tokens =
          std::min(allowed.burst,
                   bucket.tokens + allowed.rate_per_second * elapsed.count());
      bucket.updated = to;
    }
    bucket.tokens -= 1;
    violations += bucket.tokens < -1e-6 ? 1 : 0;
  }

  simulation_settings settings_;
  std::mt19937_64 random_;
  time_point now_{std::chrono::hours(1)};
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::vector<host_state> hosts_;
  std::vector<naive_limiter> naive_;
  std::map<std::string, token_bucket> single_buckets_;
  std::set<std::pair<int, int>> cut_links_;
  bool store_up_ = true;
  share_table table_;
  std::uint64_t generation_ = 1;
  std::shared_ptr<const limits_snapshot> accounts_ =
      std::make_shared<const limits_snapshot>(
          limits_snapshot{{"account-0", {20, 40}},
                          {"account-1", {70, 30}},
                          {"account-2", {10, 3}}});
  std::map<std::string, oracle_bucket> oracle_{
      {"account-0", {40, now_, {{now_, {20, 40}}}}},
      {"account-1", {30, now_, {{now_, {70, 30}}}}},
      {"account-2", {3, now_, {{now_, {10, 3}}}}}};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_TEST_FLEET_SIMULATION_H_
