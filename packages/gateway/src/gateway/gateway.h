#ifndef CARDAMOMYARD_GATEWAY_GATEWAY_H_
#define CARDAMOMYARD_GATEWAY_GATEWAY_H_

#include <memory>

#include "cardamomyard/base.h"
#include "src/gateway/host_runtime.h"
#include "src/gateway/host_settings.h"

namespace cardamomyard {

/// \brief The role of an entry host that admits requests itself: it serves
/// callers, places each request at a backend server and shares what it knows
/// with its peers.
class gateway {
 public:
  virtual ~gateway() = default;
  /// Binds all addresses.
  static result<std::unique_ptr<gateway>> Create(host_settings settings,
                                                 platform_services services);
  virtual void Start() = 0;
  /// Leaves the balancer, finishes what runs, and returns.
  virtual void Stop() = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_GATEWAY_H_
