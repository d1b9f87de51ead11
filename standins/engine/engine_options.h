#ifndef CARDAMOMYARD_STANDINS_ENGINE_ENGINE_OPTIONS_H_
#define CARDAMOMYARD_STANDINS_ENGINE_ENGINE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cardamomyard::standins {

struct engine_options {
  double step_ms = 2;
  double step_per_seq_ms = 0.02;
  double prefill_ms_per_token = 0.05;
  std::size_t max_batch = 64;
  std::size_t cache_tokens = 65'536;
  std::chrono::milliseconds load_lag{200};
  std::chrono::milliseconds event_lag{500};
  /// Share of cache events that are never published.
  double event_gaps = 0.05;
  std::chrono::milliseconds order_delay{0};
  bool check_fencing = false;
  std::string crash_token = "CRASH_ENGINE";
  std::uint64_t seed = 1;
  /// Called after a crash; every connection is closed already.
  std::function<void()> on_crash = [] {};
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_ENGINE_OPTIONS_H_
