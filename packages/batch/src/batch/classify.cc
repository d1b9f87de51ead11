#include "src/batch/classify.h"

#include <string>

#include "src/batch/batch_limits.h"

namespace cardamomyard {
namespace {

using run_outcome = item_result::run_outcome;

item_result Failed(std::size_t index, error_kind kind, std::string message) {
  return {index, run_outcome::failed, true, {}, kind, std::move(message)};
}

item_result RetryOrFail(std::size_t index,
                        const group_item& before,
                        error_kind kind,
                        std::string message) {
  if (before.attempts + 1 >= kMaxAttempts) {
    return Failed(index, kind, std::move(message));
  }
  return {index, run_outcome::retry, true, {}, kind, std::move(message)};
}

item_result ClassifyStatus(std::size_t index,
                           const group_item& before,
                           const run_report& report) {
  const int status = *report.http_status;
  const std::string message =
      "the backend server answered " + std::to_string(status);
  if (status >= 200 && status < 300) {
    return {index, run_outcome::completed, true, {}, error_kind::internal, ""};
  }
  switch (status) {
    case 404:
      return Failed(index, error_kind::not_found, message);
    case 413:
      return Failed(index, error_kind::too_large, message);
    case 400:
    case 422:
      return Failed(index, error_kind::invalid_request, message);
    default:
      break;
  }
  if (!report.repeatable) {
    return Failed(index, error_kind::backend_failed, message);
  }
  return RetryOrFail(index, before, error_kind::backend_failed, message);
}

}  // namespace

item_result ClassifyResult(std::size_t index,
                           const group_item& before,
                           const run_report& report) {
  if (report.http_status) {
    return ClassifyStatus(index, before, report);
  }
  if (report.failure && report.failure->ran() == outcome::not_run) {
    switch (report.failure->kind()) {
      case error_kind::invalid_request:
      case error_kind::not_found:
      case error_kind::too_large:
      case error_kind::quarantined:
      case error_kind::forbidden:
        return Failed(index, report.failure->kind(), report.failure->message());
      default:
        return {index, run_outcome::retry,     false,
                {},    report.failure->kind(), report.failure->message()};
    }
  }
  if (!report.repeatable) {
    return Failed(index, error_kind::unknown_outcome,
                  "the item may have run and cannot be repeated");
  }
  if (report.engine_died) {
    // An engine also crashes for other reasons, in bursts too, and the item is
    // owed. Only crashes of runs without any other request tell against it.
    if (report.ran_alone && before.crashes >= kMaxLoneCrashes) {
      return Failed(index, error_kind::quarantined,
                    "the engine crashed each time while the item ran");
    }
    return {index, run_outcome::suspect,       true,
            {},    error_kind::backend_failed, ""};
  }
  return RetryOrFail(
      index, before,
      report.failure ? report.failure->kind() : error_kind::backend_failed,
      report.failure ? report.failure->message() : "no answer");
}

}  // namespace cardamomyard
