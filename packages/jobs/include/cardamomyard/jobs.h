#ifndef CARDAMOMYARD_JOBS_H_
#define CARDAMOMYARD_JOBS_H_

/// \file
/// Public header of the package jobs: batch jobs kept in the platform's
/// store, their owners, and the order in which their items run.

#include "src/jobs/append_limit.h"
#include "src/jobs/fleet_job.h"
#include "src/jobs/item_queue.h"
#include "src/jobs/job_store.h"
#include "src/jobs/route_state.h"

#endif  // CARDAMOMYARD_JOBS_H_
