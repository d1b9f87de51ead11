#ifndef CARDAMOMYARD_STANDINS_ENGINE_PREFIX_CACHE_H_
#define CARDAMOMYARD_STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <unordered_map>
#include <vector>

#include "cardamomyard/base.h"
#include "engine/engine_options.h"

namespace cardamomyard::standins {

/// \brief One stored or evicted block.
struct cache_event {
  std::uint64_t sequence = 0;
  bool stored = false;
  std::uint64_t block = 0;
  time_point visible;
};

/// \brief Prompt blocks kept by least recent use in limited memory.
class prefix_cache {
 public:
  explicit prefix_cache(const engine_options& options);

  /// \returns how many leading blocks are cached, and marks them as used.
  std::size_t Match(const std::vector<std::uint64_t>& blocks);
  void Store(const std::vector<std::uint64_t>& blocks, time_point now);
  void Clear();
  std::size_t cached_tokens() const;
  /// \returns the published events with a sequence above \p after. Sequences
  /// of lost events are missing.
  std::vector<cache_event> EventsAfter(std::uint64_t after,
                                       time_point now) const;

 private:
  void Publish(bool stored, std::uint64_t block, time_point now);

  std::size_t max_blocks_;
  duration lag_;
  double gaps_;
  std::mt19937_64 random_;
  std::list<std::uint64_t> by_use_;  // The most recently used block is first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::deque<cache_event> events_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_PREFIX_CACHE_H_
