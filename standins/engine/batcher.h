#ifndef CARDAMOMYARD_STANDINS_ENGINE_BATCHER_H_
#define CARDAMOMYARD_STANDINS_ENGINE_BATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "engine/engine_options.h"
#include "engine/prefix_cache.h"
#include "engine/sequence.h"

namespace cardamomyard::standins {

/// \brief Load as published by the engine.
struct engine_load {
  std::size_t running = 0;
  std::size_t waiting = 0;
  double step_ms = 0;
  std::size_t cached_tokens = 0;
};

/// \brief KV state that outlives its sequence or came from another engine.
struct kv_record {
  std::uint64_t prompt_hash = 0;
  std::size_t prompt_tokens = 0;
  std::size_t tokens = 0;
  std::vector<std::uint64_t> blocks;
};

/// \brief Counters of the engine.
struct engine_counters {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t tokens = 0;
  std::uint64_t crashes = 0;
};

/// \brief Continuous batching: one timer gives a token per step to every
/// running sequence. Sequences are admitted first come, first served.
class batcher {
 public:
  explicit batcher(const engine_options& options);

  /// Adds a sequence; the caller removes it before destroying it.
  void Add(sequence& added, const boost::asio::any_io_executor& executor);
  /// Counts the end of a sequence and keeps its KV state.
  void Remove(sequence& removed);
  /// \param id  of the sequence, or its `X-Request-Id`.
  bool Cancel(const std::string& id);
  /// Ends every sequence and loses cache and KV state.
  void Crash();

  /// \returns the load as it was one lag ago.
  engine_load LaggedLoad();
  const kv_record* FindKv(const std::string& id) const;
  void ImportKv(const std::string& id, kv_record record);
  const prefix_cache& cache() const { return cache_; }
  const engine_counters& counters() const { return counters_; }
  const clock& time() const { return clock_; }

 private:
  struct load_sample {
    time_point at;
    engine_load load;
  };

  boost::asio::awaitable<void> Run();
  void Admit(time_point now);
  void Step(time_point now);
  void CancelClosed(time_point now);
  void End(sequence& ended, sequence_state state);
  void RecordLoad(time_point now);
  double StepMs() const;

  const engine_options& options_;
  host_clock clock_;
  prefix_cache cache_;
  std::vector<sequence*> running_;
  std::deque<sequence*> waiting_;
  bool stepping_ = false;
  time_point closed_checked_;
  std::deque<load_sample> loads_;
  std::map<std::string, kv_record> kv_;
  std::deque<std::string> kv_order_;
  engine_counters counters_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_BATCHER_H_
