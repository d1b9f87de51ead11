#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

// If every worker leaves, accepted jobs have no worker to run them; if a worker
// waits needlessly, its host is never drained although others could take its
// jobs.
TEST(Evacuation, OneWorkerAlwaysStaysAndTheOthersLeave) {
  const std::vector<std::string> names{"a", "b", "c", "d"};
  const unsigned sets = 1U << names.size();
  for (unsigned live_set = 1; live_set < sets; ++live_set) {
    for (unsigned draining = 0; draining < sets; ++draining) {
      std::set<std::string> live;
      std::set<std::string> to_drain;
      for (std::size_t i = 0; i < names.size(); ++i) {
        if ((live_set >> i & 1U) != 0) {
          live.insert(names[i]);
        }
        if ((draining >> i & 1U) != 0) {
          to_drain.insert(names[i]);
        }
      }
      const bool others_remain = std::any_of(
          live.begin(), live.end(),
          [&](const std::string& name) { return !to_drain.contains(name); });
      std::size_t remaining = 0;
      for (const std::string& name : live) {
        const bool leaves =
            to_drain.contains(name) && MayEvacuate(name, live, to_drain);
        remaining += leaves ? 0 : 1;
        // No worker has to wait if another one is not to be drained.
        EXPECT_TRUE(leaves || !others_remain || !to_drain.contains(name));
      }
      EXPECT_GE(remaining, 1U);
      if (!others_remain) {
        EXPECT_EQ(remaining, 1U);
      }
    }
  }
}

}  // namespace
}  // namespace cardamomyard
