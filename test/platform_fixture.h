#ifndef CARDAMOMYARD_TEST_PLATFORM_FIXTURE_H_
#define CARDAMOMYARD_TEST_PLATFORM_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "harness/platform_fleet.h"
#include "harness/ports.h"

namespace cardamomyard {

using harness::child_process;
using std::chrono::milliseconds;

/// \brief Real gateways and workers beside a stand-in of the users' platform.
class platform_fixture : public ::testing::Test,
                         protected harness::platform_fleet {
 protected:
  explicit platform_fixture(const harness::platform_size& size = {})
      : platform_fleet(size) {}

  host StartGateway(const std::string& name,
                    const std::vector<std::string>& flags = {}) {
    host made = Start("gateway", name, flags);
    EXPECT_TRUE(Eventually([&] { return Ready(made); }))
        << "the gateway never became ready:\n"
        << Log(name);
    return made;
  }

  /// Starts a worker and waits until \p gateway hears it.
  host StartWorker(const std::string& name, const host& gateway) {
    host made = Start("worker", name);
    EXPECT_TRUE(Eventually([&] {
      return Logged(gateway.name, "A peer is heard.", "\"" + name + "\"");
    })) << Log(name);
    return made;
  }

  static std::string WholeText() {
    std::string text;
    for (int i = 1; i <= standins::platform_engine::kEvents; ++i) {
      text += (i == 1 ? "" : "\n") + standins::platform_engine::Event(i);
    }
    return text;
  }
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_TEST_PLATFORM_FIXTURE_H_
