#include "src/jobs/item_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamomyard {
namespace {

// A server that refused is full for about this long.
constexpr std::chrono::milliseconds kRefusalBackoff{60};
// A server that failed an item may fail others for a short time.
constexpr std::chrono::milliseconds kFailureBackoff{150};
// Doubles with each run in a row that delivers nothing.
constexpr std::chrono::milliseconds kInterruptionBackoff{10};
constexpr std::chrono::milliseconds kMaxInterruptionBackoff{500};
constexpr int kMaxInterruptionDoublings = 6;
constexpr std::chrono::milliseconds kMaxUnsoundBackoff{10'000};
constexpr int kMaxUnsoundDoublings = 10;

// Used for a batch route that sets no bound.
constexpr std::chrono::hours kDefaultBound{24};

std::chrono::milliseconds OrDefault(std::chrono::milliseconds bound) {
  return bound.count() > 0 ? bound : kDefaultBound;
}

constexpr std::chrono::milliseconds kMinStoreDelay{100};
constexpr std::chrono::milliseconds kMaxStoreDelay{600};
// The delay is the time until the results are due, divided by this.
constexpr int kStoreDelayDivisor = 20;
// Callers still want overdue results; several of them share a write.
constexpr std::chrono::milliseconds kOverdueStoreDelay{300};

}  // namespace

std::chrono::milliseconds StoreDelay(time_point due, time_point now) {
  if (now >= due) {
    return kOverdueStoreDelay;
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(due - now);
  return std::clamp(left / kStoreDelayDivisor, kMinStoreDelay, kMaxStoreDelay);
}

item_limits LimitsOf(const route_bounds& bounds, const job_age& age) {
  const time_point submitted =
      std::min<time_point>(age.first_seen, age.now - age.by_wall_time);
  item_limits limits;
  limits.max_attempts = bounds.max_attempts;
  limits.due = submitted + OrDefault(bounds.completion_objective);
  limits.expires = age.first_seen + OrDefault(bounds.retention);
  return limits;
}

std::string_view Name(item_run_outcome run_outcome) {
  switch (run_outcome) {
    case item_run_outcome::completed:
      return "completed";
    case item_run_outcome::failed:
      return "failed";
    case item_run_outcome::impossible:
      return "impossible";
    case item_run_outcome::interrupted:
      return "cut";
    case item_run_outcome::refused:
      return "refused";
    case item_run_outcome::unsound:
      return "unsound";
  }
  return "unknown";
}

void item_queue::Add(queued_item item) {
  key name{item.job, item.item};
  items_.emplace(std::move(name), std::move(item));
}

void item_queue::RemoveJob(const std::string& job) {
  std::erase_if(items_,
                [&job](const auto& item) { return item.first.first == job; });
}

void item_queue::SetLimits(const std::string& job, const item_limits& limits) {
  for (auto item = items_.lower_bound(key{job, ""});
       item != items_.end() && item->first.first == job; ++item) {
    item->second.limits = limits;
  }
}

std::vector<std::string> item_queue::Waiting(const std::string& job) const {
  std::vector<std::string> items;
  for (auto item = items_.lower_bound(key{job, ""});
       item != items_.end() && item->first.first == job; ++item) {
    if (!item->second.running) {
      items.push_back(item->first.second);
    }
  }
  return items;
}

queued_item* item_queue::TakeNext(time_point now,
                                  const std::set<std::string>& held_routes) {
  queued_item* best = nullptr;
  const auto order = [now](const queued_item& item) {
    return std::tuple(now >= item.limits.due, item.limits.due, item.index);
  };
  for (auto& [name, item] : items_) {
    if (!item.running && now >= item.not_before &&
        !held_routes.contains(item.route) &&
        (best == nullptr || order(item) < order(*best))) {
      best = &item;
    }
  }
  if (best != nullptr) {
    best->running = true;
  }
  return best;
}

queued_item* item_queue::Find(const std::string& job, const std::string& item) {
  const auto found = items_.find(key{job, item});
  return found == items_.end() ? nullptr : &found->second;
}

std::optional<bool> item_queue::RecordOutcome(queued_item& item,
                                              item_run_outcome run_outcome,
                                              bool progressed,
                                              time_point now) {
  item.running = false;
  if (progressed) {
    item.runs_without_event = 0;
    item.unsound_answers = 0;
  }
  switch (run_outcome) {
    case item_run_outcome::completed:
      return true;
    case item_run_outcome::impossible:
      return false;
    case item_run_outcome::failed:
      item.not_before = now + kFailureBackoff;
      if (++item.failures >= item.limits.max_attempts) {
        return false;
      }
      return std::nullopt;
    case item_run_outcome::interrupted:
      item.not_before =
          now + std::min(kMaxInterruptionBackoff,
                         kInterruptionBackoff * (1 << item.runs_without_event));
      item.runs_without_event =
          std::min(item.runs_without_event + 1, kMaxInterruptionDoublings);
      return std::nullopt;
    case item_run_outcome::unsound:
      item.not_before =
          now + std::min(kMaxUnsoundBackoff,
                         kInterruptionBackoff * (1 << item.unsound_answers));
      item.unsound_answers =
          std::min(item.unsound_answers + 1, kMaxUnsoundDoublings);
      return std::nullopt;
    case item_run_outcome::refused:
      item.not_before = now + kRefusalBackoff;
      return std::nullopt;
  }
  return std::nullopt;
}

void item_queue::Erase(const std::string& job, const std::string& item) {
  items_.erase(key{job, item});
}

bool item_queue::PreemptedBefore(const queued_item& a, const queued_item& b) {
  return std::tuple(a.limits.due, -a.last_event) >
         std::tuple(b.limits.due, -b.last_event);
}

std::size_t item_queue::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const auto& item) { return !item.second.running; }));
}

std::vector<queued_item*> item_queue::Expired(time_point now) {
  std::vector<queued_item*> expired;
  for (auto& [name, item] : items_) {
    if (!item.running && now >= item.limits.expires) {
      expired.push_back(&item);
    }
  }
  return expired;
}

}  // namespace cardamomyard
