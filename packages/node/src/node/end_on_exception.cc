#include "src/node/end_on_exception.h"

#include <cstdlib>

#include "cardamomyard/telemetry.h"

namespace cardamomyard {
namespace {

constexpr part_log kLog("process");

}  // namespace

void end_on_exception::operator()(const std::exception_ptr& thrown) const {
  if (thrown == nullptr) {
    return;
  }
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& failure) {
    kLog.Error("A background task failed; the process ends.",
               {{"error", failure.what()}});
  } catch (...) {
    kLog.Error("A background task failed; the process ends.");
  }
  std::abort();
}

}  // namespace cardamomyard
