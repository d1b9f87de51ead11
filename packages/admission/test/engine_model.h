#ifndef CARDAMOMYARD_ADMISSION_TEST_ENGINE_MODEL_H_
#define CARDAMOMYARD_ADMISSION_TEST_ENGINE_MODEL_H_

#include <algorithm>
#include <map>
#include <vector>

#include "cardamomyard/admission.h"

namespace cardamomyard {

/// \brief Simulated engine: each step generates one token for every running
/// sequence and lasts base + per_sequence * running.
class engine_model {
 public:
  explicit engine_model(duration base = std::chrono::milliseconds(10),
                        duration per_sequence = std::chrono::microseconds(1500))
      : base_(base), per_sequence_(per_sequence) {}

  void Start(request_id id, int tokens) { remaining_tokens_[id] = tokens; }
  /// \returns the number of tokens not yet generated.
  int Cancel(request_id id) {
    const int remaining = remaining_tokens_.at(id);
    remaining_tokens_.erase(id);
    return remaining;
  }
  bool Runs(request_id id) const { return remaining_tokens_.contains(id); }
  int running() const { return static_cast<int>(remaining_tokens_.size()); }
  duration step_time() const { return base_ + per_sequence_ * running(); }
  /// \brief Runs one step.
  /// \returns the sequences that ended.
  std::vector<request_id> Step() {
    std::vector<request_id> ended;
    for (auto& [id, tokens] : remaining_tokens_) {
      if (--tokens <= 0) {
        ended.push_back(id);
      }
    }
    for (const request_id id : ended) {
      remaining_tokens_.erase(id);
    }
    return ended;
  }

 private:
  duration base_;
  duration per_sequence_;
  std::map<request_id, int> remaining_tokens_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_TEST_ENGINE_MODEL_H_
