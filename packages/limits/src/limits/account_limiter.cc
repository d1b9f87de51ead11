#include "src/limits/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using seconds_double = std::chrono::duration<double>;

constexpr time_point kNever = time_point::max();
// Rounding of summed shares can leave a whole token short by a few ulps.
constexpr double kTokenTolerance = 1e-9;

// Returns the index of the newest version that is fully in effect at `time`.
template <class History>
std::size_t EffectiveIndex(const History& versions, time_point time) {
  std::size_t index = 0;
  for (std::size_t i = 0; i < versions.size(); ++i) {
    if (versions[i].effective_from <= time) {
      index = i;
    }
  }
  return index;
}

// Returns the next time after `time` at which a version is received or takes
// full effect.
template <class History>
time_point NextChange(const History& versions, time_point time) {
  time_point next = kNever;
  for (const auto& entry : versions) {
    for (const time_point change : {entry.received, entry.effective_from}) {
      if (change > time) {
        next = std::min(next, change);
      }
    }
  }
  return next;
}

double Sum(const auto& entries) {
  double sum = 0;
  for (const auto& e : entries) {
    sum += e.tokens;
  }
  return sum;
}

void DropExpired(auto& entries, time_point now) {
  std::erase_if(entries, [now](const auto& e) { return e.expires <= now; });
}

// Takes up to `amount` tokens from the entries, earliest expiry first, and
// returns how many it took.
double TakeFrom(auto& entries, double amount) {
  double taken = 0;
  while (!entries.empty() && taken < amount) {
    const double part = std::min(entries.front().tokens, amount - taken);
    taken += part;
    entries.front().tokens -= part;
    if (entries.front().tokens <= 0) {
      entries.pop_front();
    }
  }
  return taken;
}

}  // namespace

duration LoanDuration(const account_limits& limits) {
  // A round trip takes about 2 ms; tokens that arrive after the loan has
  // expired are lost.
  constexpr double kShortestSeconds = 0.060;
  constexpr double kLongestSeconds = 0.100;
  if (limits.rate_per_second <= 0) {
    return std::chrono::seconds(1);
  }
  const double burst_tenth_seconds =
      limits.burst / (10 * limits.rate_per_second);
  return std::chrono::duration_cast<duration>(seconds_double(
      std::clamp(burst_tenth_seconds, kShortestSeconds, kLongestSeconds)));
}

account_limiter::account_limiter(std::string host, limiter_settings settings)
    : host_(std::move(host)),
      settings_(settings),
      tables_(std::make_shared<const table_history>()) {}

account_limiter::stripe& account_limiter::StripeOf(const std::string& account) {
  return stripes_[Hash64(account) % kStripes];
}

std::uint64_t account_limiter::epoch() const {
  const auto tables = tables_.load();
  return tables->empty() ? 0 : tables->back().number;
}

bool account_limiter::HasContact(time_point now) const {
  return now < contact_until_.load();
}

void account_limiter::SetTable(const share_table& table,
                               table_origin origin,
                               time_point now) {
  const auto old = tables_.load();
  if (!old->empty() && table.epoch <= old->back().number) {
    return;
  }
  auto next = std::make_shared<table_history>(*old);
  // Eight tables cover more than a minute of continuous changes; a bucket that
  // was last updated before the oldest table restarts empty.
  constexpr std::size_t kMaxTables = 8;
  while (next->size() >= kMaxTables && EffectiveIndex(*next, now) > 0) {
    next->pop_front();
  }
  time_point effective_from = kNever;
  if (next->empty()) {
    created_table_ = origin == table_origin::created;
    if (created_table_) {
      effective_from = now;
    } else {
      // Before the first table takes full effect, this host has no share.
      next->push_back({std::make_shared<const share_table>(), 0,
                       time_point::min(), time_point::min()});
    }
  }
  next->push_back({std::make_shared<const share_table>(table), table.epoch, now,
                   effective_from});
  tables_.store(std::move(next));
  ++change_count_;
}

void account_limiter::ConfirmTable(std::uint64_t epoch, time_point now) {
  const auto old = tables_.load();
  auto next = std::make_shared<table_history>(*old);
  bool changed = false;
  for (auto& table : *next) {
    if (table.number <= epoch && table.effective_from == kNever) {
      table.effective_from = now + settings_.increase_delay;
      changed = true;
    }
  }
  if (changed) {
    tables_.store(std::move(next));
    ++change_count_;
  }
}

void account_limiter::SetAccounts(
    std::uint64_t generation,
    std::shared_ptr<const limits_snapshot> accounts,
    time_point now) {
  if (has_accounts_ && generation <= generation_) {
    return;
  }
  const bool start_full = created_table_ && !has_accounts_;
  std::vector<std::string> changed;
  const auto change = [&](const std::string& account, account_limits limits) {
    stripe& locked = StripeOf(account);
    const std::scoped_lock lock(locked.mutex);
    const auto [it, added] = locked.accounts.try_emplace(account);
    account_state& state = it->second;
    if (added) {
      if (!start_full) {
        state.limits.push_back({{}, 0, time_point::min(), time_point::min()});
      }
      state.updated = now;
    } else {
      AdvanceTo(state, account, now);
      for (std::size_t old = EffectiveIndex(state.limits, now); old > 0;
           --old) {
        state.limits.pop_front();
      }
    }
    state.limits.push_back(
        {limits, generation, now, start_full ? now : kNever});
    state.share_valid_until = time_point::min();
    if (start_full) {
      state.tokens = ShareAt(state, account, *tables_.load(), now).burst;
    }
    changed.push_back(account);
  };
  for (const auto& [account, limits] : *accounts) {
    const auto before = accounts_ ? accounts_->find(account) : accounts->end();
    if (!accounts_ || before == accounts_->end() || before->second != limits) {
      change(account, limits);
    }
  }
  if (accounts_) {
    for (const auto& [account, limits] : *accounts_) {
      if (!accounts->contains(account)) {
        change(account, {});
      }
    }
  }
  if (!start_full) {
    unconfirmed_[generation] = std::move(changed);
  }
  accounts_ = std::move(accounts);
  generation_ = generation;
  has_accounts_ = true;
}

void account_limiter::ConfirmAccounts(std::uint64_t generation,
                                      time_point now) {
  while (!unconfirmed_.empty() && unconfirmed_.begin()->first <= generation) {
    for (const std::string& account : unconfirmed_.begin()->second) {
      stripe& locked = StripeOf(account);
      const std::scoped_lock lock(locked.mutex);
      account_state& state = locked.accounts.at(account);
      for (auto& entry : state.limits) {
        if (entry.number <= generation && entry.effective_from == kNever) {
          entry.effective_from = now + settings_.increase_delay;
          state.share_valid_until = time_point::min();
        }
      }
    }
    unconfirmed_.erase(unconfirmed_.begin());
  }
}

void account_limiter::SetContact(time_point until, time_point now) {
  if (now >= contact_until_.load()) {
    // A host that has just created the table keeps its full buckets.
    const bool first = contact_until_.load() == time_point::min();
    if (!(first && created_table_)) {
      contact_since_.store(now);
      ++change_count_;
    }
  }
  contact_until_.store(until);
}

const account_limiter::home_set& account_limiter::HomesOf(
    account_state& state,
    const std::string& account,
    const version<std::shared_ptr<const share_table>>& table,
    const account_limits& limits) const {
  for (const home_set& h : state.homes) {
    if (h.epoch == table.number && h.limits == limits) {
      return h;
    }
  }
  // Usually at most two tables and two versions of the limits are in use.
  constexpr std::size_t kMaxHomeSets = 4;
  if (state.homes.size() >= kMaxHomeSets) {
    state.homes.pop_front();
  }
  std::vector<std::string> homes = Homes(*table.value, account, limits);
  const bool includes_self = std::ranges::find(homes, host_) != homes.end();
  state.homes.push_back(
      {table.number, limits, std::move(homes), includes_self});
  return state.homes.back();
}

account_limits account_limiter::ShareAt(account_state& state,
                                        const std::string& account,
                                        const table_history& tables,
                                        time_point time) const {
  account_limits minimum{1e300, 1e300};
  bool any = false;
  for (std::size_t t = EffectiveIndex(tables, time); t < tables.size(); ++t) {
    for (std::size_t l = EffectiveIndex(state.limits, time);
         l < state.limits.size(); ++l) {
      if (tables[t].received > time || state.limits[l].received > time) {
        continue;
      }
      any = true;
      const account_limits& limits = state.limits[l].value;
      const home_set& h = HomesOf(state, account, tables[t], limits);
      const double homes =
          h.includes_self ? static_cast<double>(h.homes.size()) : HUGE_VAL;
      minimum.rate_per_second =
          std::min(minimum.rate_per_second, limits.rate_per_second / homes);
      minimum.burst = std::min(minimum.burst, limits.burst / homes);
    }
  }
  return any ? minimum : account_limits{};
}

void account_limiter::Refill(account_state& state, time_point to) const {
  const double elapsed = seconds_double(to - state.updated).count();
  DropExpired(state.lent, state.updated);
  const double lent = settings_.count_loans_in_burst ? Sum(state.lent) : 0;
  const double capacity = std::max(0.0, state.share.burst - lent);
  const double kept = std::min(state.tokens, state.share.burst);
  state.tokens =
      std::min(capacity, kept + (state.share.rate_per_second * elapsed));
  state.updated = to;
}

void account_limiter::AdvanceTo(account_state& state,
                                const std::string& account,
                                time_point now) const {
  const std::uint64_t change_count = change_count_.load();
  const time_point contact_since = contact_since_.load();
  if (state.updated < contact_since) {
    state.tokens = 0;
    state.updated = std::min(contact_since, now);
  }
  while (state.updated < now) {
    if (state.share_change_count != change_count ||
        state.updated >= state.share_valid_until) {
      const auto tables = tables_.load();
      if (!tables->empty() && state.updated < tables->front().received) {
        state.tokens = 0;
        state.updated = std::min(tables->front().received, now);
      }
      state.share = ShareAt(state, account, *tables, state.updated);
      state.share_valid_until =
          std::min(NextChange(*tables, state.updated),
                   NextChange(state.limits, state.updated));
      state.share_change_count = change_count;
    }
    time_point to = std::min(now, state.share_valid_until);
    for (const expiring_tokens& loan : state.lent) {
      if (loan.expires > state.updated) {
        to = std::min(to, loan.expires);
      }
    }
    Refill(state, to);
  }
  if (state.share_change_count != change_count ||
      now >= state.share_valid_until) {
    const auto tables = tables_.load();
    state.share = ShareAt(state, account, *tables, now);
    state.share_valid_until =
        std::min(NextChange(*tables, now), NextChange(state.limits, now));
    state.share_change_count = change_count;
  }
  Refill(state, state.updated);
  DropExpired(state.lent, now);
}

admission account_limiter::Admit(const std::string& account, time_point now) {
  constexpr milliseconds kNoContactRetryAfter{1000};
  if (!HasContact(now)) {
    return refused{error_kind::isolated, kNoContactRetryAfter};
  }
  stripe& locked = StripeOf(account);
  const std::scoped_lock lock(locked.mutex);
  const auto it = locked.accounts.find(account);
  if (it == locked.accounts.end()) {
    return refused{error_kind::not_ready, kNoContactRetryAfter};
  }
  account_state& state = it->second;
  AdvanceTo(state, account, now);
  DropExpired(state.credits, now);

  const double gap = std::max(
      1e-6,
      seconds_double(now - std::exchange(state.last_request, now)).count());
  // Exponential moving average over about eight requests.
  state.request_rate += (std::min(1 / gap, 1e6) - state.request_rate) / 8;

  const double available = Sum(state.credits) + state.tokens;
  if (available + kTokenTolerance >= 1) {
    const double borrowed = TakeFrom(state.credits, 1);
    state.tokens = std::max(0.0, state.tokens - (1 - borrowed));
    return admitted{};
  }
  const account_limits& limits = state.limits.back().value;
  const auto tables = tables_.load();
  std::vector<std::string> homes;
  if (!tables->empty() && limits.rate_per_second > 0) {
    for (const std::string& home :
         HomesOf(state, account, tables->back(), limits).homes) {
      if (home != host_) {
        homes.push_back(home);
      }
    }
  }
  const double needed = 1 - available;
  const double rate = std::max(limits.rate_per_second, 1e-3);
  const milliseconds retry_after(
      static_cast<std::int64_t>(std::ceil(1000 * needed / rate)));
  if (homes.empty()) {
    return refused{error_kind::rate_limited, retry_after};
  }
  // Each borrow starts at another home: a home that is always asked last would
  // stay full and lose its refill.
  std::rotate(homes.begin(),
              homes.begin() + static_cast<std::ptrdiff_t>(state.borrow_count++ %
                                                          homes.size()),
              homes.end());
  // A borrowed token that is unused when the loan expires is lost to the
  // account. Random arrivals almost always reach their mean less three standard
  // deviations, and the loan lasts twice as long as the horizon.
  const double horizon_seconds =
      seconds_double(LoanDuration(limits)).count() / 2;
  const double expected_requests =
      std::min(state.request_rate, limits.rate_per_second) * horizon_seconds;
  const double likely_used =
      expected_requests - (3 * std::sqrt(expected_requests));
  const double minimum = homes.size() == 1 ? needed : 0;
  return must_borrow{std::move(homes), needed, minimum,
                     std::max(needed, likely_used), retry_after};
}

loan account_limiter::Lend(const std::string& account,
                           double amount,
                           double minimum,
                           time_point now) {
  if (!HasContact(now) || !(amount > 0)) {
    return {};
  }
  stripe& locked = StripeOf(account);
  const std::scoped_lock lock(locked.mutex);
  const auto it = locked.accounts.find(account);
  if (it == locked.accounts.end()) {
    return {};
  }
  account_state& state = it->second;
  AdvanceTo(state, account, now);
  loan granted;
  granted.tokens = std::min(amount, state.tokens);
  granted.valid_for = LoanDuration(state.limits.back().value);
  if (granted.tokens <= 0 || granted.tokens + kTokenTolerance < minimum) {
    const double missing = std::max(minimum, kTokenTolerance) - state.tokens;
    double wait = missing / std::max(state.share.rate_per_second, 1e-3);
    if (!state.lent.empty() && state.share.burst - Sum(state.lent) < minimum) {
      // Outstanding loans fill the bucket; it refills once the first has
      // expired.
      wait += seconds_double(state.lent.front().expires - now).count();
    }
    loan refusal;
    refusal.retry_after = milliseconds(
        static_cast<std::int64_t>(std::ceil(1000 * std::min(wait, 3600.0))));
    return refusal;
  }
  if (settings_.deduct_loans) {
    state.tokens -= granted.tokens;
    // Another thread may have advanced the account to a later time.
    state.lent.push_back(
        {granted.tokens, std::max(now, state.updated) + granted.valid_for});
  }
  return granted;
}

void account_limiter::Credit(const std::string& account,
                             const loan& borrowed,
                             time_point sent,
                             time_point now) {
  stripe& locked = StripeOf(account);
  const std::scoped_lock lock(locked.mutex);
  const auto it = locked.accounts.find(account);
  if (it != locked.accounts.end() && borrowed.tokens > 0 &&
      now < sent + borrowed.valid_for) {
    it->second.credits.push_back({borrowed.tokens, sent + borrowed.valid_for});
  }
}

}  // namespace cardamomyard
