// Guards that an accepted configuration is in force everywhere within 3 s and
// that racing operators are told apart.
#include "batch_fixture.h"

namespace cardamomyard::harness {
namespace {

constexpr std::chrono::seconds kInForceWithin{3};

class ConfigurationTest : public FleetTest {
 protected:
  http_response Admin(const std::string& method,
                      const std::string& path,
                      std::size_t entry,
                      const std::string& body = "",
                      const std::string& author = "tester") {
    http_request request =
        JsonRequest(method, "/admin/v1/" + path, body, fleet_->admin_token());
    request.headers.Set("X-Author", author);
    return Send(std::move(request), entry);
  }
  /// Applies a folder in which the account `acme` has the given burst.
  http_response Apply(std::uint64_t expected,
                      const std::string& author,
                      int burst,
                      std::size_t entry) {
    std::string text = DefaultConfiguration({Engines(1)});
    const std::string before = "burst = 1000";
    text.replace(text.find(before), before.size(),
                 "burst = " + std::to_string(burst));
    const boost::json::object body{
        {"expected_generation", expected},
        {"author", author},
        {"files", boost::json::array{boost::json::object{{"name", "fleet.toml"},
                                                         {"text", text}}}}};
    return Admin("POST", "config", entry, boost::json::serialize(body), author);
  }
  std::uint64_t Generation(std::size_t entry = 0) {
    return static_cast<std::uint64_t>(
        fleet_->Metric(entry, "cardamomyard_config_generation"));
  }
  /// \returns how many processes report a generation of at least \p wanted.
  std::size_t InForce(std::uint64_t wanted, std::size_t entry) {
    const boost::json::value status =
        ParseJson(Admin("GET", "status", entry).body);
    std::size_t count = 0;
    for (const auto& process : status.at("processes").as_array()) {
      const auto* generation = process.as_object().if_contains("generation");
      count += generation != nullptr &&
                       generation->to_number<std::uint64_t>() >= wanted
                   ? 1
                   : 0;
    }
    return count;
  }
};

TEST_F(ConfigurationTest, Rule13_OneOfTwoOperatorsIsToldOfTheOther) {
  Start({.groups = {Engines(1)}});
  for (int round = 0; round < 5; ++round) {
    ASSERT_TRUE(WaitUntil([this] { return Generation(0) == Generation(1); }));
    const std::uint64_t before = Generation();
    auto ann = std::async(std::launch::async,
                          [&] { return Apply(before, "ann", 100 + round, 0); });
    const http_response bob = Apply(before, "bob", 200 + round, 1);
    const http_response of_ann = ann.get();
    const bool ann_won = of_ann.status == 200;
    EXPECT_NE(ann_won, bob.status == 200) << of_ann.body << bob.body;
    const http_response& loser = ann_won ? bob : of_ann;
    EXPECT_EQ(loser.status, 409) << loser.body;
    EXPECT_TRUE(Contains(loser.body, ann_won ? "ann" : "bob")) << loser.body;
    EXPECT_TRUE(WaitUntil([&] { return Generation(0) == before + 1; }));
    EXPECT_TRUE(WaitUntil([&] { return Generation(1) == before + 1; }));
    EXPECT_TRUE(Contains(Admin("GET", "accounts/acme", 1).body,
                         std::to_string((ann_won ? 100 : 200) + round)));
  }
}

TEST_F(ConfigurationTest, Rule13_ChangeIsInForceEverywhereWithinThreeSeconds) {
  Start({.entry_hosts = 3, .groups = {Engines(3)}});
  for (int round = 0; round < 4; ++round) {
    const std::uint64_t before = Generation();
    const http_response applied =
        Apply(before, "ann", 300 + round, static_cast<std::size_t>(round) % 3);
    ASSERT_EQ(applied.status, 200) << applied.body;
    EXPECT_TRUE(
        WaitUntil([&] { return InForce(before + 1, 0) == 6; }, kInForceWithin))
        << Admin("GET", "status", 0).body;
  }
}

TEST_F(ConfigurationTest, Rule13_HostStartedDuringAnOutageLearnsFromPeers) {
  Start({.groups = {Engines(1)}});
  const std::uint64_t before = Generation();
  fleet_->entry(1).process->Kill();
  ASSERT_EQ(Apply(before, "ann", 77, 0).status, 200);
  ASSERT_TRUE(WaitUntil([&] { return Generation(0) == before + 1; }));
  fleet_->Control(fleet_->store(), R"({"outage":true})");
  ASSERT_TRUE(fleet_->Restart(fleet_->entry(1)));
  EXPECT_TRUE(WaitUntil([&] {
    const int ready = Send(JsonRequest("GET", "/readyz"), 1).status;
    // A host without a configuration must not be ready.
    EXPECT_FALSE(ready == 200 && Generation(1) != before + 1);
    return ready == 200;
  }));
  EXPECT_TRUE(
      WaitUntil([this] { return Chat(ChatBody("a"), 1).status == 200; }));
  EXPECT_TRUE(Contains(Admin("GET", "accounts/acme", 1).body, "77"));
}

TEST_F(ConfigurationTest, Rule13_LostAnswersOfTheHeadsWrite) {
  Start({.groups = {Engines(1)}});
  fleet_->Control(fleet_->store(), R"({"lose_answers":0.5,"seed":13})");
  for (int round = 0; round < 8; ++round) {
    const std::uint64_t before = Generation(0);
    const http_response applied = Apply(before, "ann", 400 + round, 0);
    // The writer is alone, so a conflict could only be with itself.
    EXPECT_EQ(applied.status, 200) << applied.body;
    EXPECT_TRUE(WaitUntil(
        [&] {
          return Generation(0) == before + 1 && Generation(1) == before + 1;
        },
        kInForceWithin));
    EXPECT_TRUE(Contains(Admin("GET", "accounts/acme", 1).body,
                         std::to_string(400 + round)));
  }
}

}  // namespace
}  // namespace cardamomyard::harness
