#include "src/node/entry/usage_ledger.h"

#include "store_fixture.h"

namespace cardamomyard {
namespace {

class usage_ledger_test : public store_fixture {
 protected:
  usage_rows Stored(const std::string& account) {
    usage_rows total;
    const std::string day = UtcDay(time_.WallNow());
    auto keys = Await(store_->ListAll(usage_ledger::Prefix(day, account)));
    EXPECT_TRUE(keys);
    for (const auto& entry : *keys) {
      const auto stored = Await(store_->Get(entry.key));
      const auto rows = usage_ledger::Decode((*stored)->value);
      for (const auto& [subject, sums] : *rows) {
        total[subject] += sums;
      }
    }
    return total;
  }

  const usage_subject subject_{"acme", "acme-1", "model/hamac-lm"};
};

TEST_F(usage_ledger_test, sums_by_outcome_over_hosts) {
  usage_ledger one(*store_, time_, "entry-1-1");
  usage_ledger two(*store_, time_, "entry-2-1");
  one.Record(subject_, std::nullopt, {10, 20});
  one.Record(subject_, error::Make(error_kind::rate_limited, ""), {});
  ASSERT_TRUE(Await(one.Flush()));
  one.Record(subject_, error::Make(error_kind::timeout, ""), {1, 2});
  two.Record(subject_, std::nullopt, {5, 5});
  ASSERT_TRUE(Await(one.Flush()));
  ASSERT_TRUE(Await(two.Flush()));
  const usage_sums expected{2, 1, 0, 1, 16, 27};
  EXPECT_EQ(Stored("acme").at(subject_), expected);
}

// Failure: requests are counted twice or lost when the answer to a write is
// lost or the store is down.
TEST_F(usage_ledger_test, faults_of_the_store_change_no_sum) {
  usage_ledger ledger(*store_, time_, "entry-1-1");
  for (int i = 0; i < 12; ++i) {
    Control(i % 3 == 2 ? R"({"outage":true,"lose_answers":0})"
                       : R"({"outage":false,"lose_answers":0.5,"seed":3})");
    ledger.Record(subject_, std::nullopt, {1, 1});
    Await(ledger.Flush());
  }
  Control(R"({"outage":false,"lose_answers":0})");
  Await(ledger.Flush());
  ASSERT_TRUE(Await(ledger.Flush()));
  EXPECT_EQ(Stored("acme").at(subject_).completed, 12U);
}

TEST(usage_meter, reads_whole_answers_and_streams_cut_anywhere) {
  const std::string usage =
      R"("usage":{"prompt_tokens":7,"completion_tokens":9})";
  usage_meter whole;
  whole.Observe(R"({"choices":[],)" + usage + "}");
  EXPECT_EQ(whole.tokens(), (token_usage{7, 9}));
  usage_meter stream;
  const std::string text =
      "data: {\"choices\":[]}\n\ndata: {" + usage + "}\n\ndata: [DONE]\n\n";
  for (const char c : text) {
    stream.Observe(std::string(1, c));
  }
  EXPECT_EQ(stream.tokens(), (token_usage{7, 9}));
}

}  // namespace
}  // namespace cardamomyard
