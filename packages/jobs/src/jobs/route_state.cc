#include "src/jobs/route_state.h"

namespace cardamomyard {

route_state StateOfRoute(bool configured,
                         std::optional<time_point> configuration_read,
                         time_point job_seen) {
  if (configured) {
    return route_state::open;
  }
  return configuration_read && *configuration_read >= job_seen
             ? route_state::removed
             : route_state::unknown;
}

}  // namespace cardamomyard
