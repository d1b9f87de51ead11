#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "cardamomyard/base.h"

namespace cardamomyard {
namespace {

// Guards against bodies that change on their way through the store.
RC_GTEST_PROP(Base64, RoundTripKeepsBytes, (const std::string& bytes)) {
  RC_ASSERT(Base64Decode(Base64Encode(bytes)).value() == bytes);
}

TEST(Base64, RefusesTextThatIsNotBase64) {
  EXPECT_FALSE(Base64Decode("abc").has_value());
  EXPECT_FALSE(Base64Decode("ab*=").has_value());
  EXPECT_EQ(Base64Decode("q83vEjRWeJA=").value().size(), 8U);
}

}  // namespace
}  // namespace cardamomyard
