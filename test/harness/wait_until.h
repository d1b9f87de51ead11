#ifndef CARDAMOMYARD_TEST_HARNESS_WAIT_UNTIL_H_
#define CARDAMOMYARD_TEST_HARNESS_WAIT_UNTIL_H_

#include <chrono>
#include <functional>

namespace cardamomyard::harness {

/// \brief Polls \p condition every 10 ms.
/// \returns false when it did not hold within \p limit.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(10));

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_WAIT_UNTIL_H_
