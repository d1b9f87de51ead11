#include <gtest/gtest.h>

#include "cardamomyard/config.h"

namespace cardamomyard {
namespace {

std::string Hash() {
  return std::string(64, 'a');
}

configuration Folder(const std::string& text) {
  const auto parsed = ParseFolder({{"a.toml", text}});
  EXPECT_TRUE(parsed) << parsed.error().front().ToString();
  return parsed.value();
}

std::string Account() {
  return "[account.acme]\nrate_per_second = 1\nburst = 40\nweight = 1\nmodels "
         "= "
         "[]\n";
}
std::string Key() {
  return "[key.k]\naccount = \"acme\"\nsha256 = \"" + Hash() +
         "\"\nwithdrawn = false\n";
}

// Guards against an edit through the API that the next folder would undo.
TEST(EditTest, FolderEntitiesAreRefusedWithTheirFile) {
  const configuration now = Folder(Account());
  for (const auto& refused :
       {PutApiEntity(now, account_config{"acme", 2, 2, 1, {}}),
        RemoveApiEntity(now, "account/acme")}) {
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind(), error_kind::conflict);
    EXPECT_NE(refused.error().message().find("a.toml"), std::string::npos);
  }
  EXPECT_EQ(RemoveApiEntity(now, "account/x").error().kind(),
            error_kind::not_found);
}

// Guards against a folder that drops api entities or takes their names over.
TEST(EditTest, ApplyFolderKeepsApiEntities) {
  const auto put =
      PutApiEntity(Folder(Account()), account_config{"beta", 2, 2, 1, {}});
  ASSERT_TRUE(put) << put.error().message();
  const auto applied =
      ApplyFolder(*put, Folder("[balance]\nbatch_weight = 1\n"));
  ASSERT_TRUE(applied);
  EXPECT_NE(applied->FindAccount("beta"), nullptr);
  EXPECT_EQ(applied->FindAccount("acme"), nullptr);
  const auto taken =
      ApplyFolder(*put, Folder("[account.beta]\nrate_per_second = 1\nburst = "
                               "1\nweight = 1\nmodels = []\n"));
  ASSERT_FALSE(taken);
  EXPECT_EQ(taken.error().kind(), error_kind::conflict);
  EXPECT_NE(taken.error().message().find("a.toml"), std::string::npos);
}

// Guards against api entities that skip the checks of the folder.
TEST(EditTest, ApiEntitiesAreChecked) {
  const configuration now = Folder(Account());
  EXPECT_FALSE(PutApiEntity(now, account_config{"beta", 0, 2, 1, {}}));
  EXPECT_FALSE(PutApiEntity(now, account_config{"Beta", 1, 2, 1, {}}));
  EXPECT_FALSE(PutApiEntity(now, key_config{"k", "nobody", Hash(), false}));
  const auto read = EntityFromJson("account", "beta", "{\"burst\": 0}");
  ASSERT_FALSE(read);
  EXPECT_NE(read.error().message().find("burst: expected a whole number"),
            std::string::npos);
  const entity account = account_config{"beta", 0.1, 2, 1, {}};
  EXPECT_EQ(EntityFromJson("account", "beta", EntityToJson(account)), account);
}

// Guards against a withdrawn key that a folder or an edit revives.
TEST(EditTest, Rule06_WithdrawalTakesPrecedence) {
  const configuration folder = Folder(Account() + Key());
  const auto gone = WithdrawKey(folder, "k");
  ASSERT_TRUE(gone);
  const auto without = ApplyFolder(*gone, Folder(Account()));
  ASSERT_TRUE(without);
  for (const auto& current : {*gone, *without}) {
    const auto applied = ApplyFolder(current, folder);
    ASSERT_TRUE(applied) << applied.error().message();
    EXPECT_TRUE(applied->FindKey("k")->withdrawn);
  }
  std::string other = Account() + Key();
  other.replace(other.find(Hash()), 64, std::string(64, 'b'));
  EXPECT_EQ(ApplyFolder(*gone, Folder(other)).error().kind(),
            error_kind::conflict);
  auto api = PutApiEntity(Folder(Account()), key_config{"k", "acme", Hash()});
  api = WithdrawKey(api.value(), "k");
  EXPECT_FALSE(PutApiEntity(api.value(), key_config{"k", "acme", Hash()}));
}

// Guards against a change that an operator can't see before applying it.
TEST(EditTest, DiffNamesWhatChanges) {
  const configuration before = Folder(Account() + Key());
  const configuration after = Folder(
      "[account.acme]\nrate_per_second = 1\nburst = 50\nweight = 1\nmodels = "
      "[]\n"
      "[service.s]\ntimeout_ms = 5\n");
  EXPECT_EQ(Diff(before, after),
            (std::vector<std::string>{
                "~ account/acme: burst 40 -> 50", "- key/k",
                "+ service/s: timeout_ms = 5, from file a.toml"}));
  EXPECT_TRUE(Diff(before, before).empty());
}

}  // namespace
}  // namespace cardamomyard
