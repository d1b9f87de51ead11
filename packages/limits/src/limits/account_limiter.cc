#include "src/limits/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using seconds_double = std::chrono::duration<double>;

constexpr time_point kNever = time_point::max();
// Floating point sums of shares may miss a whole token by a few ulps.
constexpr double kTolerance = 1e-9;

template <class History>
std::size_t BaseAt(const History& versions, time_point at) {
  std::size_t base = 0;
  for (std::size_t i = 0; i < versions.size(); ++i) {
    if (versions[i].matures <= at) {
      base = i;
    }
  }
  return base;
}

// The next time after `at` when a version is seen or matures.
template <class History>
time_point NextChange(const History& versions, time_point at) {
  time_point next = kNever;
  for (const auto& v : versions) {
    for (const time_point t : {v.seen, v.matures}) {
      if (t > at) {
        next = std::min(next, t);
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

// Takes up to `amount` from the entries, the first to expire first.
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
  // A round trip takes about 2 ms; an answer after the loan time is lost.
  constexpr double kShortest = 0.060;
  constexpr double kLongest = 0.100;
  if (limits.rate_per_second <= 0) {
    return std::chrono::seconds(1);
  }
  const double tenth = limits.burst / (10 * limits.rate_per_second);
  return std::chrono::duration_cast<duration>(
      seconds_double(std::clamp(tenth, kShortest, kLongest)));
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
  // Eight tables cover more than a minute of steady changes; a bucket that
  // was not touched for longer starts empty.
  constexpr std::size_t kHistory = 8;
  while (next->size() >= kHistory && BaseAt(*next, now) > 0) {
    next->pop_front();
  }
  time_point matures = kNever;
  if (next->empty()) {
    fresh_ = origin == table_origin::created;
    if (fresh_) {
      matures = now;
    } else {
      // Until the first table matures this host holds nothing.
      next->push_back({std::make_shared<const share_table>(), 0,
                       time_point::min(), time_point::min()});
    }
  }
  next->push_back(
      {std::make_shared<const share_table>(table), table.epoch, now, matures});
  tables_.store(std::move(next));
  ++changes_;
}

void account_limiter::ConfirmTable(std::uint64_t epoch, time_point now) {
  const auto old = tables_.load();
  auto next = std::make_shared<table_history>(*old);
  bool changed = false;
  for (auto& t : *next) {
    if (t.number <= epoch && t.matures == kNever) {
      t.matures = now + settings_.increase_delay;
      changed = true;
    }
  }
  if (changed) {
    tables_.store(std::move(next));
    ++changes_;
  }
}

void account_limiter::SetAccounts(
    std::uint64_t generation,
    std::shared_ptr<const limits_snapshot> accounts,
    time_point now) {
  if (has_accounts_ && generation <= generation_) {
    return;
  }
  const bool full = fresh_ && !has_accounts_;
  std::vector<std::string> changed;
  const auto change = [&](const std::string& account, account_limits limits) {
    stripe& in = StripeOf(account);
    const std::scoped_lock lock(in.mutex);
    const auto [it, added] = in.slots.try_emplace(account);
    slot& s = it->second;
    if (added) {
      if (!full) {
        s.limits.push_back({{}, 0, time_point::min(), time_point::min()});
      }
      s.updated = now;
    } else {
      Settle(s, account, now);
      for (std::size_t old = BaseAt(s.limits, now); old > 0; --old) {
        s.limits.pop_front();
      }
    }
    s.limits.push_back({limits, generation, now, full ? now : kNever});
    s.share_until = time_point::min();
    if (full) {
      s.tokens = ShareAt(s, account, *tables_.load(), now).burst;
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
  if (!full) {
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
      stripe& in = StripeOf(account);
      const std::scoped_lock lock(in.mutex);
      slot& s = in.slots.at(account);
      for (auto& v : s.limits) {
        if (v.number <= generation && v.matures == kNever) {
          v.matures = now + settings_.increase_delay;
          s.share_until = time_point::min();
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
    if (!(first && fresh_)) {
      contact_since_.store(now);
      ++changes_;
    }
  }
  contact_until_.store(until);
}

const account_limiter::home_set& account_limiter::HomesOf(
    slot& s,
    const std::string& account,
    const version<std::shared_ptr<const share_table>>& t,
    const account_limits& limits) const {
  for (const home_set& h : s.homes) {
    if (h.epoch == t.number && h.limits == limits) {
      return h;
    }
  }
  // At most two tables and two limits are in use in the usual case.
  constexpr std::size_t kCached = 4;
  if (s.homes.size() >= kCached) {
    s.homes.pop_front();
  }
  std::vector<std::string> homes = Homes(*t.value, account, limits);
  const bool own = std::ranges::find(homes, host_) != homes.end();
  s.homes.push_back({t.number, limits, std::move(homes), own});
  return s.homes.back();
}

account_limits account_limiter::ShareAt(slot& s,
                                        const std::string& account,
                                        const table_history& tables,
                                        time_point at) const {
  account_limits least{1e300, 1e300};
  bool any = false;
  for (std::size_t t = BaseAt(tables, at); t < tables.size(); ++t) {
    for (std::size_t l = BaseAt(s.limits, at); l < s.limits.size(); ++l) {
      if (tables[t].seen > at || s.limits[l].seen > at) {
        continue;
      }
      any = true;
      const account_limits& limits = s.limits[l].value;
      const home_set& h = HomesOf(s, account, tables[t], limits);
      const double homes =
          h.own ? static_cast<double>(h.homes.size()) : HUGE_VAL;
      least.rate_per_second =
          std::min(least.rate_per_second, limits.rate_per_second / homes);
      least.burst = std::min(least.burst, limits.burst / homes);
    }
  }
  return any ? least : account_limits{};
}

void account_limiter::Refill(slot& s, time_point to) const {
  const double passed = seconds_double(to - s.updated).count();
  DropExpired(s.lent, s.updated);
  const double lent = settings_.count_loans_in_burst ? Sum(s.lent) : 0;
  const double room = std::max(0.0, s.share.burst - lent);
  const double kept = std::min(s.tokens, s.share.burst);
  s.tokens = std::min(room, kept + (s.share.rate_per_second * passed));
  s.updated = to;
}

void account_limiter::Settle(slot& s,
                             const std::string& account,
                             time_point now) const {
  const std::uint64_t change = changes_.load();
  const time_point since = contact_since_.load();
  if (s.updated < since) {
    s.tokens = 0;
    s.updated = std::min(since, now);
  }
  while (s.updated < now) {
    if (s.share_change != change || s.updated >= s.share_until) {
      const auto tables = tables_.load();
      if (!tables->empty() && s.updated < tables->front().seen) {
        s.tokens = 0;
        s.updated = std::min(tables->front().seen, now);
      }
      s.share = ShareAt(s, account, *tables, s.updated);
      s.share_until = std::min(NextChange(*tables, s.updated),
                               NextChange(s.limits, s.updated));
      s.share_change = change;
    }
    time_point to = std::min(now, s.share_until);
    for (const timed_tokens& loan : s.lent) {
      if (loan.expires > s.updated) {
        to = std::min(to, loan.expires);
      }
    }
    Refill(s, to);
  }
  if (s.share_change != change || now >= s.share_until) {
    const auto tables = tables_.load();
    s.share = ShareAt(s, account, *tables, now);
    s.share_until =
        std::min(NextChange(*tables, now), NextChange(s.limits, now));
    s.share_change = change;
  }
  Refill(s, s.updated);
  DropExpired(s.lent, now);
}

admission account_limiter::Admit(const std::string& account, time_point now) {
  constexpr milliseconds kNoContactRetry{1000};
  if (!HasContact(now)) {
    return refused{error_kind::isolated, kNoContactRetry};
  }
  stripe& in = StripeOf(account);
  const std::scoped_lock lock(in.mutex);
  const auto it = in.slots.find(account);
  if (it == in.slots.end()) {
    return refused{error_kind::not_ready, kNoContactRetry};
  }
  slot& s = it->second;
  Settle(s, account, now);
  DropExpired(s.credits, now);

  const double gap = std::max(
      1e-6, seconds_double(now - std::exchange(s.last_request, now)).count());
  // Averages over about eight requests.
  s.demand += (std::min(1 / gap, 1e6) - s.demand) / 8;

  const double at_hand = Sum(s.credits) + s.tokens;
  if (at_hand + kTolerance >= 1) {
    const double borrowed = TakeFrom(s.credits, 1);
    s.tokens = std::max(0.0, s.tokens - (1 - borrowed));
    return admitted{};
  }
  const account_limits& limits = s.limits.back().value;
  const auto tables = tables_.load();
  std::vector<std::string> homes;
  if (!tables->empty() && limits.rate_per_second > 0) {
    for (const std::string& home :
         HomesOf(s, account, tables->back(), limits).homes) {
      if (home != host_) {
        homes.push_back(home);
      }
    }
  }
  const double needed = 1 - at_hand;
  const double rate = std::max(limits.rate_per_second, 1e-3);
  const milliseconds retry_after(
      static_cast<std::int64_t>(std::ceil(1000 * needed / rate)));
  if (homes.empty()) {
    return refused{error_kind::rate_limited, retry_after};
  }
  // Homes that are asked last fill up and then lose what they refill.
  std::rotate(
      homes.begin(),
      homes.begin() + static_cast<std::ptrdiff_t>(s.borrowed++ % homes.size()),
      homes.end());
  // A token that is not used before the loan ends is lost to the account.
  // Random arrivals reach their mean less three deviations in practice, and
  // the loan lasts twice the horizon.
  const double horizon = seconds_double(LoanDuration(limits)).count() / 2;
  const double expected = std::min(s.demand, limits.rate_per_second) * horizon;
  const double sure = expected - (3 * std::sqrt(expected));
  const double least = homes.size() == 1 ? needed : 0;
  return must_borrow{std::move(homes), needed, least, std::max(needed, sure),
                     retry_after};
}

loan account_limiter::Lend(const std::string& account,
                           double amount,
                           double least,
                           time_point now) {
  if (!HasContact(now) || !(amount > 0)) {
    return {};
  }
  stripe& in = StripeOf(account);
  const std::scoped_lock lock(in.mutex);
  const auto it = in.slots.find(account);
  if (it == in.slots.end()) {
    return {};
  }
  slot& s = it->second;
  Settle(s, account, now);
  loan granted;
  granted.tokens = std::min(amount, s.tokens);
  granted.valid_for = LoanDuration(s.limits.back().value);
  if (granted.tokens <= 0 || granted.tokens + kTolerance < least) {
    const double missing = std::max(least, kTolerance) - s.tokens;
    double wait = missing / std::max(s.share.rate_per_second, 1e-3);
    if (!s.lent.empty() && s.share.burst - Sum(s.lent) < least) {
      // The bucket refills only when a loan has ended.
      wait += seconds_double(s.lent.front().expires - now).count();
    }
    loan none;
    none.retry_after = milliseconds(
        static_cast<std::int64_t>(std::ceil(1000 * std::min(wait, 3600.0))));
    return none;
  }
  if (settings_.deduct_loans) {
    s.tokens -= granted.tokens;
    // Another thread may have settled the slot with a later time.
    s.lent.push_back(
        {granted.tokens, std::max(now, s.updated) + granted.valid_for});
  }
  return granted;
}

void account_limiter::Credit(const std::string& account,
                             const loan& borrowed,
                             time_point sent,
                             time_point now) {
  stripe& in = StripeOf(account);
  const std::scoped_lock lock(in.mutex);
  const auto it = in.slots.find(account);
  if (it != in.slots.end() && borrowed.tokens > 0 &&
      now < sent + borrowed.valid_for) {
    it->second.credits.push_back({borrowed.tokens, sent + borrowed.valid_for});
  }
}

}  // namespace cardamomyard
