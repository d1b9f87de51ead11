#ifndef CARDAMOMYARD_FLEET_EVACUATION_H_
#define CARDAMOMYARD_FLEET_EVACUATION_H_

#include <set>
#include <string>

namespace cardamomyard {

/// \brief Decides whether a worker that the operator wants removed may hand its
/// jobs over now.
///
/// The load this answers: an operator who has all workers emptied one after the
/// other or at once. Accepted jobs need a worker, so the last one stays until
/// another comes; of several that are all to go, the one with the last name
/// stays. All workers that know the same names come to the same result.
/// \param self  name of this worker.
/// \param live  names of the workers that take jobs, with or without this one.
/// \param to_leave  names of the hosts that are to be emptied.
bool MayEvacuate(const std::string& self,
                 const std::set<std::string>& live,
                 const std::set<std::string>& to_leave);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_EVACUATION_H_
