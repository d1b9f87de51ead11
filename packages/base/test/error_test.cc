#include <gtest/gtest.h>

#include "cardamomyard/base.h"

namespace cardamomyard {
namespace {

// Guards against a kind whose name cannot be read back by the next hop, which
// would lose the outcome on the way to the caller.
TEST(ErrorTest, EveryKindIsReadBackFromItsName) {
  for (int i = 0; i <= static_cast<int>(error_kind::internal); ++i) {
    const auto kind = static_cast<error_kind>(i);
    EXPECT_EQ(ParseErrorKind(ToString(kind)), kind) << ToString(kind);
  }
  EXPECT_EQ(ParseErrorKind("unheard_of"), std::nullopt);
}

// Guards against a refusal that asks the caller to wait without saying how
// long.
TEST(ErrorTest, RetryAfterIsSetWhereWaitingHelps) {
  EXPECT_TRUE(error::Make(error_kind::rate_limited, "m").retry_after());
  EXPECT_FALSE(error::Make(error_kind::invalid_request, "m").retry_after());
}

}  // namespace
}  // namespace cardamomyard
