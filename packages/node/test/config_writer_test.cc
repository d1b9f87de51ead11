#include "src/node/entry/config_writer.h"

#include "store_fixture.h"

namespace cardamomyard {
namespace {

entity Account(const std::string& name, double rate) {
  return account_config{name, rate, 40, 1.0, {}};
}

config_change PutAccount(const std::string& author,
                         const std::string& name,
                         double rate) {
  return {author, "put " + name,
          [name, rate](const configuration& current) {
            return PutApiEntity(current, Account(name, rate));
          },
          std::nullopt};
}

config_change Folder(const std::string& author,
                     std::uint64_t expected,
                     double rate) {
  const std::string text =
      "[account.acme]\nrate_per_second = " + std::to_string(rate) +
      "\nburst = 40\nweight = 1.0\nmodels = []\n";
  const configuration folder = *ParseFolder({{"a.toml", text}});
  return {author, "folder of " + author,
          [folder](const configuration& current) {
            return ApplyFolder(current, folder);
          },
          expected};
}

class config_writer_test : public store_fixture {
 protected:
  config_writer Writer() {
    return {*store_, time_, [] { return nullptr; },
            [this]() -> boost::asio::awaitable<void> {
              ++written_;
              co_return;
            }};
  }
  /// Returns \p change with a concurrent write: \p winner is written between
  /// the read and the write of \p change.
  config_change Racing(config_change change, const config_change& winner) {
    auto raced = std::make_shared<bool>(false);
    change.apply = [this, raced, winner,
                    inner = change.apply](const configuration& current) {
      if (!*raced) {
        *raced = true;
        // Writes on another thread, since the first one is blocked in this
        // function.
        thread_pool other(1);
        auto http = std::move(*http_client::Create());
        auto store = store_client::Create({.address = host_->address()}, *http,
                                          time_, metrics_);
        config_writer writer(
            *store, time_, [] { return nullptr; },
            []() -> boost::asio::awaitable<void> { co_return; });
        auto first = boost::asio::co_spawn(other.At(0), writer.Write(winner),
                                           boost::asio::use_future)
                         .get();
        EXPECT_TRUE(first) << first.error().message();
        // The client's connections are destroyed before the threads that used
        // them.
        store.reset();
        other.Stop();
        http.reset();
      }
      return inner(current);
    };
    return change;
  }

  configuration Stored() {
    auto writer = Writer();
    configuration seen;
    config_change look{"reader", "",
                       [&seen](const configuration& current) {
                         seen = current;
                         return result<configuration>(current);
                       },
                       std::nullopt};
    EXPECT_TRUE(Await(writer.Write(look)));
    return seen;
  }

  int written_ = 0;
};

TEST_F(config_writer_test, Rule13_EachChangeIsANewGeneration) {
  auto writer = Writer();
  const auto first = Await(writer.Write(PutAccount("ana", "acme", 20)));
  const auto second = Await(writer.Write(PutAccount("ana", "beta", 5)));
  const auto same = Await(writer.Write(PutAccount("ana", "beta", 5)));
  ASSERT_TRUE(first && second && same);
  EXPECT_EQ(first->generation, 1U);
  EXPECT_EQ(second->generation, 2U);
  EXPECT_EQ(second->changes.size(), 1U);
  EXPECT_EQ(same->generation, 2U);
  EXPECT_TRUE(same->changes.empty());
  EXPECT_EQ(written_, 2);
  EXPECT_NE(Stored().FindAccount("acme"), nullptr);
}

// Failure: an edit overwrites another operator's concurrent edit.
TEST_F(config_writer_test, Rule13_ALostRaceOnOneEntityIsRetried) {
  auto writer = Writer();
  ASSERT_TRUE(Await(writer.Write(PutAccount("ana", "first", 1))));
  const auto written = Await(writer.Write(
      Racing(PutAccount("ana", "acme", 20), PutAccount("boris", "beta", 5))));
  ASSERT_TRUE(written) << written.error().message();
  EXPECT_EQ(written->generation, 3U);
  const configuration stored = Stored();
  EXPECT_NE(stored.FindAccount("acme"), nullptr);
  EXPECT_NE(stored.FindAccount("beta"), nullptr);
}

// Failure: a folder silently replaces another operator's folder.
TEST_F(config_writer_test, Rule13_ALostRaceOnAFolderNamesTheWinner) {
  auto writer = Writer();
  ASSERT_TRUE(Await(writer.Write(Folder("ana", 0, 1))));
  const auto raced =
      Await(writer.Write(Racing(Folder("ana", 1, 20), Folder("boris", 1, 5))));
  const auto late = Await(writer.Write(Folder("ana", 1, 20)));
  for (const auto* refused : {&raced, &late}) {
    ASSERT_FALSE(*refused);
    EXPECT_EQ(refused->error().kind(), error_kind::conflict);
    EXPECT_EQ(refused->error().ran(), outcome::not_run);
    EXPECT_NE(refused->error().message().find("boris"), std::string::npos);
    EXPECT_NE(refused->error().message().find("folder of boris"),
              std::string::npos);
  }
  EXPECT_EQ(Stored().FindAccount("acme")->rate_per_second, 5);
}

// Failure: a change that took effect is reported as refused because the answer
// to the write was lost.
TEST_F(config_writer_test, Rule13_ALostAnswerAfterTheEffectIsASuccess) {
  auto writer = Writer();
  Control(R"({"lose_answers":0.4,"seed":7})");
  std::vector<std::string> succeeded;
  for (int i = 1; i <= 20; ++i) {
    const std::string name = "acme-" + std::to_string(i);
    const auto written = Await(writer.Write(PutAccount("ana", name, i)));
    if (written) {
      succeeded.push_back(name);
    } else {
      EXPECT_EQ(written.error().kind(), error_kind::store_unavailable);
    }
  }
  Control(R"({"lose_answers":0})");
  EXPECT_FALSE(succeeded.empty());
  const configuration stored = Stored();
  for (const std::string& name : succeeded) {
    EXPECT_NE(stored.FindAccount(name), nullptr) << name;
  }
}

// Failure: a change that is in force is reported as a conflict, since the
// writer's own write took effect without an answer or the winner wrote the
// same.
TEST_F(config_writer_test, Rule13_AChangeThatIsInForceIsNoConflict) {
  auto writer = Writer();
  ASSERT_TRUE(Await(writer.Write(Folder("ana", 0, 1))));
  const auto written =
      Await(writer.Write(Racing(Folder("ana", 1, 20), Folder("boris", 1, 20))));
  ASSERT_TRUE(written) << written.error().message();
  EXPECT_EQ(written->generation, 2U);
}

TEST_F(config_writer_test, Rule13_AnOutageRefusesAndChangesNothing) {
  auto writer = Writer();
  ASSERT_TRUE(Await(writer.Write(PutAccount("ana", "acme", 20))));
  Control(R"({"outage":true})");
  const auto refused = Await(writer.Write(PutAccount("ana", "acme", 5)));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind(), error_kind::store_unavailable);
  EXPECT_EQ(refused.error().ran(), outcome::not_run);
  Control(R"({"outage":false})");
  EXPECT_EQ(Stored().FindAccount("acme")->rate_per_second, 20);
}

// Failure: operators lose edits when several write at once.
TEST_F(config_writer_test, Rule13_TwoOperatorsAtOnceLoseNoEdit) {
  auto ana = Writer();
  auto boris = Writer();
  for (int i = 0; i < 10; ++i) {
    auto a = Begin(ana.Write(PutAccount("ana", "a" + std::to_string(i), 1)));
    auto b =
        Begin(boris.Write(PutAccount("boris", "b" + std::to_string(i), 1)));
    EXPECT_TRUE(a.get());
    EXPECT_TRUE(b.get());
  }
  EXPECT_EQ(Stored().All<account_config>().size(), 20U);
}

}  // namespace
}  // namespace cardamomyard
