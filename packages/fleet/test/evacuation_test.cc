#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

// Guards against accepted jobs that no worker is left for, and against a host
// that is never emptied although others could take its jobs.
TEST(Evacuation, OneWorkerAlwaysStaysAndTheOthersLeave) {
  const std::vector<std::string> names{"a", "b", "c", "d"};
  const unsigned sets = 1U << names.size();
  for (unsigned alive = 1; alive < sets; ++alive) {
    for (unsigned asked = 0; asked < sets; ++asked) {
      std::set<std::string> live;
      std::set<std::string> to_leave;
      for (std::size_t i = 0; i < names.size(); ++i) {
        if ((alive >> i & 1U) != 0) {
          live.insert(names[i]);
        }
        if ((asked >> i & 1U) != 0) {
          to_leave.insert(names[i]);
        }
      }
      const bool others_stay = std::any_of(
          live.begin(), live.end(),
          [&](const std::string& name) { return !to_leave.contains(name); });
      std::size_t staying = 0;
      for (const std::string& name : live) {
        const bool leaves =
            to_leave.contains(name) && MayEvacuate(name, live, to_leave);
        staying += leaves ? 0 : 1;
        // With a worker that is not to leave, nobody has to wait.
        EXPECT_TRUE(leaves || !others_stay || !to_leave.contains(name));
      }
      EXPECT_GE(staying, 1U);
      if (!others_stay) {
        EXPECT_EQ(staying, 1U);
      }
    }
  }
}

}  // namespace
}  // namespace cardamomyard
