#include "src/telemetry/end_on_exception.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace cardamomyard {
namespace {

// Guards against a control loop that ends unnoticed while its process goes on.
TEST(EndOnExceptionTest, EndsTheProcessWithTheReason) {
  EXPECT_DEATH(
      kEndOnException(std::make_exception_ptr(std::runtime_error("reason"))),
      "reason");
}

TEST(EndOnExceptionTest, DoesNothingWithoutAnException) {
  kEndOnException(nullptr);
}

}  // namespace
}  // namespace cardamomyard
