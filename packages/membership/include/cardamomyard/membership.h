#ifndef CARDAMOMYARD_MEMBERSHIP_H_
#define CARDAMOMYARD_MEMBERSHIP_H_

/// \file
/// Public header of the package membership: views of backend servers and entry
/// hosts, and contact with the store.

#include "src/membership/backend_view.h"
#include "src/membership/contact_monitor.h"
#include "src/membership/departure_registry.h"
#include "src/membership/host_view.h"

#endif  // CARDAMOMYARD_MEMBERSHIP_H_
