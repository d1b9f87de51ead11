#ifndef CARDAMOMYARD_TOOLS_LOADGEN_LOAD_PROFILE_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_LOAD_PROFILE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard::loadgen {

/// \brief What one caller sends.
struct caller_profile {
  std::string name = "caller";
  std::string key;
  std::string account;
  std::string path = "/v1/completions";
  std::string model;
  double rate = 10;  ///< Requests per second outside bursts.
  /// For `burst_length_s` at the start of each `burst_period_s` the rate is
  /// multiplied by `burst_factor`; no bursts when the period is 0.
  double burst_factor = 1;
  double burst_period_s = 0;
  double burst_length_s = 0;
  std::size_t prompt_tokens = 64;
  std::size_t max_tokens = 16;
  bool stream = true;
  /// Share of the prompt, from its start, that all requests have in common.
  double shared_prefix = 0;
};

/// \brief A whole run.
struct load_profile {
  double seconds = 10;
  std::uint64_t seed = 1;
  std::vector<caller_profile> callers;
};

/// Reads {"seconds","seed","callers":[{field of caller_profile: value}]}.
/// Unknown fields are errors.
result<load_profile> ParseProfile(std::string_view text);

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_LOAD_PROFILE_H_
