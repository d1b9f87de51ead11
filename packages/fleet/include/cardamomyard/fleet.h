#ifndef CARDAMOMYARD_FLEET_H_
#define CARDAMOMYARD_FLEET_H_

/// \file
/// Public header of the package fleet: a host's view of routes, backend
/// servers and peers, and the placement of work. It opens no sockets and starts
/// no threads; time is an argument.

#include "src/fleet/backend_directory.h"
#include "src/fleet/backend_pool.h"
#include "src/fleet/batch_placement.h"
#include "src/fleet/cold_admission.h"
#include "src/fleet/crash_attribution.h"
#include "src/fleet/evacuation.h"
#include "src/fleet/host_ranks.h"
#include "src/fleet/newest_peer.h"
#include "src/fleet/online_placement.h"
#include "src/fleet/peer_table.h"
#include "src/fleet/server_speed.h"
#include "src/fleet/service_map.h"
#include "src/fleet/zone_evacuations.h"

#endif  // CARDAMOMYARD_FLEET_H_
