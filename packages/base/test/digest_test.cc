#include <gtest/gtest.h>

#include "cardamomyard/base.h"

namespace cardamomyard {
namespace {

// Published test vectors; a wrong digest would make stored key hashes useless.
TEST(DigestTest, MatchesPublishedVectors) {
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(HmacSha256Hex("Jefe", "what do ya want for nothing?"),
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against a member's departure moving keys that it did not hold.
TEST(RendezvousTest, DepartureMovesOnlyKeysOfTheDepartedMember) {
  const std::vector<std::string> all{"a", "b", "c", "d"};
  const std::vector<std::string> fewer{"a", "b", "c"};
  for (int i = 0; i < 500; ++i) {
    const std::string key = "key" + std::to_string(i);
    const auto before = RendezvousTop(all, key, 1).front();
    if (before != "d") {
      EXPECT_EQ(RendezvousTop(fewer, key, 1).front(), before);
    }
  }
}

}  // namespace
}  // namespace cardamomyard
