// Batch jobs and items whose ids hold any characters.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

std::vector<std::string> OddIds() {
  return {"a:b", "a&b",  "a+b",  "a#b",      "a%41",    "aA",        "a b",
          "a/b", "a?b",  "a=b",  "a\"b'c",   "a\\b",    "a\tb",      "+",
          "%",   "a,b;", "{id}", "\xc3\xa9", "job.0.1", "a/b/status"};
}

class odd_id_test : public platform_fixture {
 protected:
  // Keeps the 400 items of the jobs short.
  static constexpr int kEvents = 2;

  odd_id_test() : platform_fixture({.rate_per_s = 10'000}) {
    for (standins::platform_engine* engine : engines()) {
      engine->SetEvents(kEvents);
    }
  }

  /// Submits a job with an item of each id.
  http_response SubmitItems(const host& gateway, const std::string& job) {
    boost::json::array items;
    for (const std::string& id : OddIds()) {
      items.push_back(boost::json::object{{"id", id},
                                          {"path", "/lots/1/x"},
                                          {"body", Base64Encode("of " + id)},
                                          {"tokens", 1}});
    }
    return client().Call(gateway.front,
                         Request("POST", "/lots/1", job,
                                 boost::json::serialize(boost::json::object{
                                     {"items", std::move(items)}})));
  }

  std::string ItemBody(const host& gateway,
                       const std::string& job,
                       const std::string& item) {
    const auto answer = client().Call(
        gateway.front,
        Request("GET", MakeTarget({"v1", "items", job}, {{"id", item}}), "r"));
    return answer.status == 200 ? answer.body : std::to_string(answer.status);
  }
};

// A job was accepted and then answered 404, so its results were lost to its
// caller; and an item kept the whole job from being accepted.
TEST_F(odd_id_test, Rule01_JobsAndItemsAreFoundUnderTheirIds) {
  const host first = StartGateway("g1");
  const host second = StartGateway("g2");
  for (const std::string& job : OddIds()) {
    EXPECT_EQ(SubmitItems(first, job).status, 202) << job;
    EXPECT_EQ(SubmitItems(second, job).status, 202) << job;
  }
  // Bodies are read before a worker has listed the items.
  for (const std::string& id : OddIds()) {
    EXPECT_EQ(ItemBody(second, id, id), "of " + id);
  }
  const host worker = StartWorker("w1", first);
  const std::vector<std::string> ids = OddIds();
  for (const std::string& job : ids) {
    ASSERT_TRUE(AllListed(second, job, static_cast<int>(ids.size())))
        << job << "\n"
        << Log("w1");
    std::multiset<std::string> listed;
    const boost::json::object results = Results(first, job);
    for (const boost::json::value& result : results.at("results").as_array()) {
      listed.emplace(result.at("id").as_string());
      EXPECT_EQ(result.at("state"), "completed");
    }
    EXPECT_EQ(listed, std::multiset<std::string>(ids.begin(), ids.end()));
    EXPECT_EQ(client()
                  .Call(first.front,
                        Request("DELETE", MakeTarget({"v1", "lots", job}), "r"))
                  .status,
              200)
        << job;
  }
  EXPECT_EQ(store().refusals(), 0);
}

// A job without an id was accepted, and no call could find it.
TEST_F(odd_id_test, Rule01_IdsThatNoCallCanCarryAreRefusedAtOnce) {
  const host gateway = StartGateway("g1");
  for (const std::string& job : {std::string(), std::string(".."),
                                 std::string("\xff"), std::string(129, 'a')}) {
    EXPECT_EQ(Submit(gateway, job, 1, "i").status, 400) << job;
  }
}

}  // namespace
}  // namespace cardamomyard
