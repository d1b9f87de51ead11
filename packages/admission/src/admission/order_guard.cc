#include "src/admission/order_guard.h"

#include <cassert>
#include <utility>

namespace cardamomyard {

order_guard::order_guard(std::string holder, duration lifetime, duration margin)
    : holder_(std::move(holder)), lifetime_(lifetime), margin_(margin) {
  assert(margin < lifetime && "the margin must be shorter than the lease");
}

void order_guard::Observe(const std::optional<order_lease>& record,
                          time_point now) {
  if (record != observed_) {
    observed_ = record;
    observed_since_ = now;
  }
  if (!record || record->holder != holder_) {
    valid_until_.reset();
  }
}

std::optional<order_lease> order_guard::NextRecord(time_point now) const {
  if (!observed_) {
    return order_lease{holder_, 1, 0};
  }
  if (observed_->holder == holder_) {
    return order_lease{holder_, observed_->fencing_token,
                       observed_->renewal + 1};
  }
  if (now < observed_since_ + lifetime_ + margin_) {
    return std::nullopt;
  }
  return order_lease{holder_, observed_->fencing_token + 1, 0};
}

void order_guard::RecordWritten(const order_lease& record, time_point sent) {
  observed_ = record;
  observed_since_ = sent;
  valid_until_ = sent + lifetime_;
}

bool order_guard::MaySend(time_point now, duration order_time) const {
  return valid_until_ && now + order_time + margin_ < *valid_until_;
}

}  // namespace cardamomyard
