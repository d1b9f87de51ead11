#ifndef CARDAMOMYARD_ROUTING_H_
#define CARDAMOMYARD_ROUTING_H_

/// \file
/// Public header of the package routing: load balancing over the backend
/// servers of a deployment, retries, and quarantine of requests that crash
/// servers.

#include "src/routing/affinity_router.h"
#include "src/routing/backend_candidate.h"
#include "src/routing/candidate_set.h"
#include "src/routing/crash_suspects.h"
#include "src/routing/least_loaded_router.h"
#include "src/routing/load_balance.h"
#include "src/routing/prompt_prefix.h"
#include "src/routing/retry_budget.h"
#include "src/routing/retry_policy.h"
#include "src/routing/round_robin_router.h"
#include "src/routing/routing_policy.h"
#include "src/routing/suspect_claim.h"

#endif  // CARDAMOMYARD_ROUTING_H_
