#include "src/admission/first_come_admission.h"

#include <optional>

namespace cardamomyard {
namespace {

error DrainingError() {
  return error::Make(error_kind::draining, "the backend server is draining")
      .WithOutcome(outcome::not_run);
}

}  // namespace

online_decision first_come_admission::SubmitOnline(
    request_id id,
    const std::string& /*account*/,
    double /*weight*/,
    time_point /*deadline*/,
    time_point /*now*/) {
  if (draining_) {
    return refuse_request{id, DrainingError()};
  }
  if (slots_.Submit(id)) {
    online_.insert(id);
    return start_request{id};
  }
  queued_.insert(id);
  return request_queued{};
}

bool first_come_admission::OfferBatch(request_id id, time_point /*now*/) {
  if (draining_ || slots_.running() >= capacity_) {
    return false;
  }
  slots_.Submit(id);
  batch_.insert(id);
  return true;
}

admission_events first_come_admission::Finished(request_id id,
                                                time_point /*now*/) {
  if (online_.erase(id) + batch_.erase(id) == 0) {
    return {};
  }
  return StartNextQueued();
}

admission_events first_come_admission::Cancel(request_id id, time_point now) {
  queued_.erase(id);
  return Finished(id, now);
}

admission_events first_come_admission::BeginIsolation(request_id id,
                                                      time_point now) {
  const online_decision decision = SubmitOnline(id, "", 1, now, now);
  if (const auto* started = std::get_if<start_request>(&decision)) {
    return {*started};
  }
  if (const auto* refused = std::get_if<refuse_request>(&decision)) {
    return {*refused};
  }
  return {};
}

admission_events first_come_admission::BeginDrain(time_point /*now*/) {
  draining_ = true;
  admission_events events;
  for (const request_id id : queued_) {
    events.emplace_back(refuse_request{id, DrainingError()});
  }
  queued_.clear();
  return events;
}

admission_events first_come_admission::StartNextQueued() {
  while (const std::optional<request_id> next = slots_.ReleaseSlot()) {
    if (queued_.erase(*next) > 0) {
      online_.insert(*next);
      return {start_request{*next}};
    }
  }
  return {};
}

}  // namespace cardamomyard
