#include "engine/prefix_cache.h"

#include "engine/generated_text.h"

namespace cardamomyard::standins {
namespace {

/// Older events are gone, which a slow reader sees as one more gap.
constexpr std::size_t kMaxEvents = 10'000;

}  // namespace

prefix_cache::prefix_cache(const engine_options& options)
    : max_blocks_(options.cache_tokens / kTokensPerBlock),
      lag_(options.event_lag),
      gaps_(options.event_gaps),
      random_(options.seed) {}

std::size_t prefix_cache::Match(const std::vector<std::uint64_t>& blocks) {
  std::size_t matched = 0;
  for (const std::uint64_t block : blocks) {
    const auto found = blocks_.find(block);
    if (found == blocks_.end()) {
      break;
    }
    by_use_.splice(by_use_.begin(), by_use_, found->second);
    ++matched;
  }
  return matched;
}

void prefix_cache::Store(const std::vector<std::uint64_t>& blocks,
                         time_point now) {
  for (const std::uint64_t block : blocks) {
    if (blocks_.contains(block) || max_blocks_ == 0) {
      continue;
    }
    if (blocks_.size() == max_blocks_) {
      Publish(false, by_use_.back(), now);
      blocks_.erase(by_use_.back());
      by_use_.pop_back();
    }
    by_use_.push_front(block);
    blocks_.emplace(block, by_use_.begin());
    Publish(true, block, now);
  }
}

void prefix_cache::Clear() {
  blocks_.clear();
  by_use_.clear();
  events_.clear();
}

std::size_t prefix_cache::cached_tokens() const {
  return blocks_.size() * kTokensPerBlock;
}

std::vector<cache_event> prefix_cache::EventsAfter(std::uint64_t after,
                                                   time_point now) const {
  std::vector<cache_event> found;
  for (const cache_event& event : events_) {
    if (event.sequence > after && event.visible <= now) {
      found.push_back(event);
    }
  }
  return found;
}

void prefix_cache::Publish(bool stored, std::uint64_t block, time_point now) {
  ++last_sequence_;
  if (std::uniform_real_distribution<>(0, 1)(random_) < gaps_) {
    return;
  }
  events_.push_back({last_sequence_, stored, block, now + lag_});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

}  // namespace cardamomyard::standins
