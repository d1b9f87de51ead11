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
  bool contact_counts = true;     // off: every host believes it has contact
  bool majority_confirms = true;  // off: a host's own knowledge suffices
  bool only_first_host = false;
  // Callers offer only what a single bucket with this part of rate and burst
  // admits; 0: they are not paced.
  double paced = 0;
  double load = 2;               // requests offered, as a multiple of the rate
  bool store_goes_down = false;  // one second after the start, for good
  duration length = std::chrono::seconds(150);
};

/// \brief Hosts, store and messages on a virtual clock with seeded faults.
/// The oracle is one bucket per account that no host can see.
class fleet_simulation {
 public:
  fleet_simulation(std::uint64_t seed, simulation_settings settings)
      : settings_(settings),
        random_(seed),
        nodes_(settings.hosts),
        naive_(settings.hosts, naive_limiter(settings.hosts)) {
    for (int i = 0; i < settings_.hosts; ++i) {
      table_.hosts.push_back(Name(i));
    }
    table_.epoch = 1;
    for (const auto& [account, limits] : *accounts_) {
      const double part = settings_.paced > 0 ? settings_.paced : 1;
      ideal_.emplace(account, token_bucket({part * limits.rate_per_second,
                                            part * limits.burst},
                                           limits.burst, now_));
      for (naive_limiter& n : naive_) {
        n.SetAccount(account, limits, now_);
      }
    }
    for (int i = 0; i < settings_.hosts; ++i) {
      Start(i, settings_.faults ? table_origin::found : table_origin::created);
    }
  }

  void Run() {
    using std::chrono::milliseconds;
    const time_point end = now_ + settings_.length;
    Every(milliseconds(500), [this] { Digests(); });
    Every(milliseconds(1000), [this] { ReadStore(); });
    Every(milliseconds(5), [this] { Load(); });
    if (settings_.store_goes_down) {
      At(now_ + milliseconds(1000), [this] { store_up_ = false; });
    }
    if (settings_.faults) {
      Every(milliseconds(1000), [this] { KeepTable(); });
      Every(milliseconds(1500), [this] { Fault(); });
    }
    while (!events_.empty() && events_.top().at <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  int violations = 0;
  int offered = 0;
  int admitted_count = 0;
  int wrongful = 0;        // refused where one bucket would have admitted
  int naive_wrongful = 0;  // the same for the equal split
  int table_changes = 0;

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  struct knowledge {
    share_table table;
    std::uint64_t generation = 0;
    std::shared_ptr<const limits_snapshot> accounts;
  };
  struct node {
    int life = 0;
    bool alive = false;
    bool store_cut = false;
    time_point paused_until = time_point::min();
    std::unique_ptr<account_limiter> limiter;
    contact_monitor monitor;
    knowledge known;
    std::optional<time_point> read;
    std::map<int, time_point> heard;
    std::map<int, std::pair<std::uint64_t, std::uint64_t>> peers_know;
  };
  struct oracle_bucket {
    double tokens = 0;
    time_point updated;
    std::vector<std::pair<time_point, account_limits>> changes;
  };

  static std::string Name(int i) { return "host-" + std::to_string(i); }
  int Pick(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }
  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  duration Delay() {
    const bool slow = settings_.faults && Chance(0.05);
    return std::chrono::microseconds(1000 + Pick(slow ? 1500000 : 400));
  }
  void At(time_point t, std::function<void()> run) {
    events_.push({t, ++order_, std::move(run)});
  }
  void Every(duration step, const std::function<void()>& run) {
    At(now_ + step, [this, step, run] {
      run();
      Every(step, run);
    });
  }

  void Start(int i, table_origin origin) {
    node& n = nodes_[i];
    const int life = n.life + 1;
    n = node{};
    n.life = life;
    n.alive = true;
    n.limiter = std::make_unique<account_limiter>(Name(i), settings_.limiter);
    std::set<std::string> others;
    for (int p = 0; p < settings_.hosts; ++p) {
      if (p != i) {
        others.insert(Name(p));
        n.heard[p] = now_;
      }
    }
    n.monitor.SetKnownPeers(others);
    if (store_up_) {
      Learn(i, {table_, generation_, accounts_}, origin);
      n.read = now_;
      n.monitor.RecordStoreRead(now_);
      Contact(n);
    }
  }

  // Runs when the host does: at once, or after its pause.
  void OnHost(int i, int life, time_point t, const std::function<void()>& run) {
    At(t, [this, i, life, run] {
      node& n = nodes_[i];
      if (!n.alive || n.life != life) {
        return;
      }
      if (now_ < n.paused_until) {
        OnHost(i, life, n.paused_until, run);
      } else {
        run();
      }
    });
  }
  void Send(int from, int to, const std::function<void()>& run) {
    if (!cuts_.contains({from, to}) && nodes_[to].alive &&
        !(settings_.faults && Chance(0.02))) {
      OnHost(to, nodes_[to].life, now_ + Delay(), run);
    }
  }
  bool Running(const node& n) const {
    return n.alive && now_ >= n.paused_until;
  }

  void Learn(int i,
             const knowledge& k,
             table_origin origin = table_origin::found) {
    node& n = nodes_[i];
    if (k.table.epoch > n.known.table.epoch) {
      n.known.table = k.table;
      n.limiter->SetTable(k.table, origin, now_);
    }
    if (k.generation > n.known.generation) {
      n.known.generation = k.generation;
      n.known.accounts = k.accounts;
      n.limiter->SetAccounts(k.generation, k.accounts, now_);
    }
    if (k.table.hosts.empty()) {
      return;
    }
    // The newest that a majority has shown to know.
    std::vector<std::uint64_t> epochs{n.known.table.epoch};
    std::vector<std::uint64_t> generations{n.known.generation};
    for (const auto& [peer, knows] : n.peers_know) {
      epochs.push_back(knows.first);
      generations.push_back(knows.second);
    }
    const std::size_t majority = settings_.hosts / 2 + 1;
    if (!settings_.majority_confirms) {
      n.limiter->ConfirmTable(n.known.table.epoch, now_);
      n.limiter->ConfirmAccounts(n.known.generation, now_);
    } else if (epochs.size() >= majority) {
      std::ranges::sort(epochs, std::greater<>());
      std::ranges::sort(generations, std::greater<>());
      n.limiter->ConfirmTable(epochs[majority - 1], now_);
      n.limiter->ConfirmAccounts(generations[majority - 1], now_);
    }
  }
  void Heard(int i, int from, const knowledge& k) {
    node& n = nodes_[i];
    n.heard[from] = now_;
    auto& knows = n.peers_know[from];
    knows = {std::max(knows.first, k.table.epoch),
             std::max(knows.second, k.generation)};
    Learn(i, k);
  }
  void Contact(node& n) {
    const time_point until = settings_.contact_counts
                                 ? n.monitor.ContactUntil(now_)
                                 : time_point::max();
    if (until > now_) {
      n.limiter->SetContact(until, now_);
    }
  }

  void Digests() {
    for (int i = 0; i < settings_.hosts; ++i) {
      if (!Running(nodes_[i])) {
        continue;
      }
      for (int p = 0; p < settings_.hosts; ++p) {
        if (p != i) {
          Digest(i, p);
        }
      }
    }
  }
  void Digest(int i, int p) {
    const time_point sent = now_;
    const int life = nodes_[i].life;
    Send(i, p, [=, this, k = nodes_[i].known] {
      Heard(p, i, k);
      const node& peer = nodes_[p];
      attestation said;
      if (peer.read) {
        said.store_contact_age = now_ - *peer.read;
      }
      said.store_unreachable = !store_up_ || peer.store_cut;
      // A restarted process has forgotten which tables it attested.
      said.excluded_as_evidence =
          !peer.read || !peer.monitor.GivesEvidenceFor(Name(i));
      Send(p, i, [=, this, k = peer.known] {
        if (nodes_[i].life == life) {
          Heard(i, p, k);
          nodes_[i].monitor.RecordAttestation(Name(p), said, sent);
          Contact(nodes_[i]);
        }
      });
    });
  }
  void ReadStore() {
    for (int i = 0; i < settings_.hosts; ++i) {
      node& n = nodes_[i];
      if (!Running(n) || n.store_cut || !store_up_) {
        continue;
      }
      const time_point sent = now_;
      OnHost(i, n.life, now_ + Delay(),
             [=, this, k = knowledge{table_, generation_, accounts_}] {
               Learn(i, k);
               node& reader = nodes_[i];
               reader.read = std::max(reader.read.value_or(sent), sent);
               reader.monitor.RecordStoreRead(sent);
               Contact(reader);
             });
    }
  }

  void KeepTable() {
    const int i = Pick(settings_.hosts);
    const node& n = nodes_[i];
    if (!Running(n) || n.store_cut || !store_up_) {
      return;
    }
    for (int p = 0; p < settings_.hosts; ++p) {
      const bool listed =
          std::ranges::find(table_.hosts, Name(p)) != table_.hosts.end();
      if (!listed && p == i) {
        const auto next = PlanJoin(table_, Name(p));
        Write(*next);
        for (node& other : nodes_) {
          other.monitor.ResumeEvidenceFor(Name(p));
        }
      } else if (listed && p != i && Lost(n, p)) {
        std::set<std::string> agreed;
        for (int v = 0; v < settings_.hosts; ++v) {
          if (v != p && Running(nodes_[v]) && Lost(nodes_[v], p)) {
            agreed.insert(Name(v));
            nodes_[v].monitor.StopEvidenceFor(Name(p));
          }
        }
        if (const auto next = PlanRemoval(table_, {Name(p)}, agreed)) {
          Write(*next);
        }
      }
    }
  }
  bool Lost(const node& n, int p) const {
    const auto it = n.heard.find(p);
    return it != n.heard.end() && now_ - it->second > std::chrono::seconds(10);
  }
  void Write(const share_table& next) {
    table_ = next;
    ++table_changes;
  }

  void Fault() {
    const int i = Pick(settings_.hosts);
    node& n = nodes_[i];
    const auto span = std::chrono::milliseconds(500 + Pick(25000));
    switch (Pick(8)) {
      case 0:
        n.alive = false;
        At(now_ + span, [=, this] {
          if (!nodes_[i].alive) {
            Start(i, table_origin::found);
          }
        });
        break;
      case 1:
        n.paused_until = now_ + span;
        break;
      case 2:
        n.store_cut = !n.store_cut;
        break;
      case 3:
        store_up_ = !store_up_;
        break;
      case 4:
        cuts_.insert({i, Pick(settings_.hosts)});
        break;
      case 5:
        for (int p = 0; p < settings_.hosts; ++p) {
          cuts_.insert({i, p});
          cuts_.insert({p, i});
        }
        break;
      case 6:
        cuts_.clear();
        for (node& each : nodes_) {
          each.store_cut = false;
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
    account_limits& one = (*next)["account-" + std::to_string(Pick(3))];
    one = {5.0 + Pick(60), 2.0 + Pick(50)};
    accounts_ = next;
    ++generation_;
    for (const auto& [account, limits] : *accounts_) {
      auto& changes = oracle_[account].changes;
      if (changes.back().second != limits) {
        changes.emplace_back(now_, limits);
      }
    }
  }

  void Load() {
    for (const auto& [account, limits] : *accounts_) {
      const double mean = settings_.load * limits.rate_per_second * 0.005;
      // The load comes and goes, so that buckets fill and whole bursts meet.
      const bool quiet =
          settings_.faults &&
          (now_.time_since_epoch() / std::chrono::seconds(1)) % 7 < 4;
      const int count =
          quiet ? 0 : std::poisson_distribution<int>(mean)(random_);
      for (int c = 0; c < count; ++c) {
        const int i = settings_.only_first_host ? 0 : Pick(settings_.hosts);
        if (Running(nodes_[i])) {
          const bool inside = ideal_.at(account).Take(1, now_);
          if (!inside && settings_.paced > 0) {
            continue;
          }
          ++offered;
          naive_wrongful += inside && !naive_[i].Admit(account, now_) ? 1 : 0;
          Request(i, account, now_, inside, 0);
        }
      }
    }
  }
  void Request(int i,
               const std::string& account,
               time_point start,
               bool inside,
               std::size_t asked,
               std::vector<std::string> homes = {},
               std::optional<std::chrono::milliseconds> told = {}) {
    const admission answer = nodes_[i].limiter->Admit(account, now_);
    if (std::holds_alternative<admitted>(answer)) {
      ++admitted_count;
      Count(account);
      return;
    }
    const auto* borrow = std::get_if<must_borrow>(&answer);
    if (borrow && asked == 0) {
      homes = borrow->homes;
    }
    if (!borrow || asked >= homes.size() ||
        now_ - start > std::chrono::milliseconds(150)) {
      // A short lack is waited for, as the entry host does.
      const auto* no = std::get_if<refused>(&answer);
      const auto known = borrow ? borrow->retry_after : no->retry_after;
      const auto wait = told.value_or(known);
      if ((borrow || no->kind == error_kind::rate_limited) &&
          now_ + wait - start <= std::chrono::milliseconds(150)) {
        OnHost(i, nodes_[i].life,
               now_ + std::max(wait, std::chrono::milliseconds(5)),
               [=, this] { Request(i, account, start, inside, 0); });
        return;
      }
      wrongful += inside ? 1 : 0;
      return;
    }
    const int home = std::stoi(homes[asked].substr(5));
    const time_point sent = now_;
    const int life = nodes_[i].life;
    Send(i, home, [=, this, amount = borrow->amount, least = borrow->minimum] {
      const loan granted =
          nodes_[home].limiter->Lend(account, amount, least, now_);
      Send(home, i, [=, this] {
        if (nodes_[i].life == life) {
          nodes_[i].limiter->Credit(account, granted, sent, now_);
          Request(i, account, start, inside, asked + 1, homes,
                  homes.size() == 1 && granted.retry_after.count() > 0
                      ? std::optional(granted.retry_after)
                      : std::nullopt);
        }
      });
    });
  }

  // An older version may be acted on for the contact window.
  static account_limits Allowed(const oracle_bucket& b, time_point t) {
    account_limits most = b.changes.back().second;
    for (std::size_t c = 0; c + 1 < b.changes.size(); ++c) {
      if (b.changes[c + 1].first + kContactWindow >= t) {
        most.rate_per_second =
            std::max(most.rate_per_second, b.changes[c].second.rate_per_second);
        most.burst = std::max(most.burst, b.changes[c].second.burst);
      }
    }
    return most;
  }
  void Count(const std::string& account) {
    oracle_bucket& b = oracle_[account];
    constexpr auto kStep = std::chrono::milliseconds(50);
    while (b.updated < now_) {
      const time_point to = std::min<time_point>(now_, b.updated + kStep);
      // The limits at the start of the step are the larger ones at a decrease.
      const account_limits allowed = Allowed(b, b.updated);
      const std::chrono::duration<double> passed = to - b.updated;
      b.tokens = std::min(allowed.burst,
                          b.tokens + allowed.rate_per_second * passed.count());
      b.updated = to;
    }
    b.tokens -= 1;
    violations += b.tokens < -1e-6 ? 1 : 0;
  }

  simulation_settings settings_;
  std::mt19937_64 random_;
  time_point now_{std::chrono::hours(1)};
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::vector<node> nodes_;
  std::vector<naive_limiter> naive_;
  std::map<std::string, token_bucket> ideal_;
  std::set<std::pair<int, int>> cuts_;
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
