#include "src/admission/naive_admission.h"

namespace cardamomyard {

bool naive_admission::Submit(request_id id) {
  if (running_ < capacity_) {
    ++running_;
    return true;
  }
  queue_.push_back(id);
  return false;
}

std::optional<request_id> naive_admission::ReleaseSlot() {
  if (queue_.empty()) {
    --running_;
    return std::nullopt;
  }
  const request_id next = queue_.front();
  queue_.pop_front();
  return next;
}

}  // namespace cardamomyard
