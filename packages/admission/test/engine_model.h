#ifndef CARDAMOMYARD_ADMISSION_TEST_ENGINE_MODEL_H_
#define CARDAMOMYARD_ADMISSION_TEST_ENGINE_MODEL_H_

#include <algorithm>
#include <map>
#include <vector>

#include "cardamomyard/admission.h"

namespace cardamomyard {

/// \brief An engine driven step by step: each step gives every running sequence
/// one token and lasts base + per_sequence x running.
class engine_model {
 public:
  explicit engine_model(duration base = std::chrono::milliseconds(10),
                        duration per_sequence = std::chrono::microseconds(1500))
      : base_(base), per_sequence_(per_sequence) {}

  void Start(request_id id, int tokens) { left_[id] = tokens; }
  /// \returns the tokens that were still missing.
  int Cancel(request_id id) {
    const int left = left_.at(id);
    left_.erase(id);
    return left;
  }
  bool Runs(request_id id) const { return left_.contains(id); }
  int running() const { return static_cast<int>(left_.size()); }
  duration step_time() const { return base_ + per_sequence_ * running(); }
  /// \brief Runs one step and returns the sequences that ended.
  std::vector<request_id> Step() {
    std::vector<request_id> ended;
    for (auto& [id, tokens] : left_) {
      if (--tokens <= 0) {
        ended.push_back(id);
      }
    }
    for (const request_id id : ended) {
      left_.erase(id);
    }
    return ended;
  }

 private:
  duration base_;
  duration per_sequence_;
  std::map<request_id, int> left_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_TEST_ENGINE_MODEL_H_
