#ifndef CARDAMOMYARD_LIMITS_H_
#define CARDAMOMYARD_LIMITS_H_

/// \file
/// Public header of the package limits: rate limits of client accounts.

#include "src/limits/account_limiter.h"
#include "src/limits/fleet_quota.h"
#include "src/limits/naive_limiter.h"
#include "src/limits/share_table.h"
#include "src/limits/stop_schedule.h"
#include "src/limits/token_bucket.h"

#endif  // CARDAMOMYARD_LIMITS_H_
