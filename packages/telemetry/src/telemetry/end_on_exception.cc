#include "src/telemetry/end_on_exception.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

#include "src/telemetry/log.h"

namespace cardamomyard {
namespace {

constexpr part_log kLog("process");
// The process ends soon also when nobody reads its output.
constexpr std::chrono::milliseconds kFlushLimit{200};

}  // namespace

void end_on_exception::operator()(const std::exception_ptr& thrown) const {
  if (thrown == nullptr) {
    return;
  }
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& failure) {
    std::cerr << "cardamomyard: a background task failed: " << failure.what()
              << "\n";
    kLog.Error("A background task failed; the process ends.",
               {{"error", failure.what()}});
  } catch (...) {
    kLog.Error("A background task failed; the process ends.");
  }
  FlushLogs(kFlushLimit);
  std::abort();
}

}  // namespace cardamomyard
