#include "src/fleet/evacuation.h"

#include <algorithm>

namespace cardamomyard {

bool MayEvacuate(const std::string& self,
                 const std::set<std::string>& live,
                 const std::set<std::string>& to_drain) {
  return std::any_of(live.begin(), live.end(), [&](const std::string& other) {
    return other != self && (!to_drain.contains(other) || other > self);
  });
}

}  // namespace cardamomyard
