#ifndef CARDAMOMYARD_GATEWAY_H_
#define CARDAMOMYARD_GATEWAY_H_

/// \file
/// Public header of the package gateway: the gateway and worker roles, and the
/// interfaces through which a platform is adapted to them.

#include "src/gateway/gateway.h"
#include "src/gateway/host_settings.h"
#include "src/gateway/protocol.h"
#include "src/gateway/worker.h"

#endif  // CARDAMOMYARD_GATEWAY_H_
