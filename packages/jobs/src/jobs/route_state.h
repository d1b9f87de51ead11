#ifndef CARDAMOMYARD_JOBS_ROUTE_STATE_H_
#define CARDAMOMYARD_JOBS_ROUTE_STATE_H_

#include <optional>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief What a worker knows of the route of a batch job.
enum class route_state {
  open,     ///< The configuration in force contains it.
  unknown,  ///< The configuration in force may be older than the job.
  removed,  ///< A configuration newer than the job does not contain it.
};

/// \brief Tells a route that was removed from one that this worker does not
/// know yet.
///
/// A gateway accepts a job as soon as it has the configuration that adds the
/// route. Workers may receive that configuration seconds later.
///
/// \param configured  whether the configuration in force contains the route.
/// \param configuration_read  when the newest configuration was last requested
/// from the store, not from a watch or a peer; nothing if it never was.
/// \param job_seen  when this worker first saw the job.
route_state StateOfRoute(bool configured,
                         std::optional<time_point> configuration_read,
                         time_point job_seen);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_JOBS_ROUTE_STATE_H_
