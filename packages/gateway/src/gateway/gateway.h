#ifndef CARDAMOMYARD_GATEWAY_GATEWAY_H_
#define CARDAMOMYARD_GATEWAY_GATEWAY_H_

#include <memory>

#include "cardamomyard/base.h"
#include "src/gateway/host_runtime.h"
#include "src/gateway/host_settings.h"

namespace cardamomyard {

/// \brief The role of an entry host that admits requests itself: it serves
/// callers, routes each request to a backend server and shares load and quota
/// use with its peers.
class gateway {
 public:
  virtual ~gateway() = default;
  /// Creates the gateway and binds all its listening addresses.
  static result<std::unique_ptr<gateway>> Create(host_settings settings,
                                                 platform_services services);
  virtual void Start() = 0;
  /// Reports itself as not ready until the load balancer has removed this host,
  /// waits for the active requests within the grace period, and returns.
  virtual void Stop() = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_GATEWAY_H_
