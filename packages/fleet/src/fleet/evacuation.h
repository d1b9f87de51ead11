#ifndef CARDAMOMYARD_FLEET_EVACUATION_H_
#define CARDAMOMYARD_FLEET_EVACUATION_H_

#include <set>
#include <string>

namespace cardamomyard {

/// \brief Decides whether a worker that the operator is draining may hand over
/// its jobs now.
///
/// An operator may drain all workers, one after the other or at once. Accepted
/// jobs need a worker, so the last one stays until another joins; when all live
/// workers are to be drained, the one with the highest name stays. Workers that
/// know the same names reach the same decision.
/// \param self  name of this worker.
/// \param live  names of the workers that accept jobs, with or without this
/// one.
/// \param to_drain  names of the hosts that are to be drained.
bool MayEvacuate(const std::string& self,
                 const std::set<std::string>& live,
                 const std::set<std::string>& to_drain);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_EVACUATION_H_
