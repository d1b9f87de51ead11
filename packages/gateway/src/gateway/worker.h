#ifndef CARDAMOMYARD_GATEWAY_WORKER_H_
#define CARDAMOMYARD_GATEWAY_WORKER_H_

#include <memory>

#include "cardamomyard/base.h"
#include "src/gateway/host_runtime.h"
#include "src/gateway/host_settings.h"

namespace cardamomyard {

/// \brief The role that runs batch items: it owns batch jobs, runs their items
/// in slots that online requests do not use, and stores the results.
class worker {
 public:
  virtual ~worker() = default;
  static result<std::unique_ptr<worker>> Create(host_settings settings,
                                                platform_services services);
  virtual void Start() = 0;
  /// Stops the running items, stores finished results, releases the lease so
  /// that other workers take over the jobs, and returns.
  virtual void Stop() = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_WORKER_H_
