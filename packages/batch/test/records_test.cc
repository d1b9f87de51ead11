#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "cardamomyard/batch.h"

namespace cardamomyard {
namespace {

constexpr wall_time kNow{std::chrono::hours(1000)};

group_record Claimed(std::size_t items) {
  return Claim(std::nullopt, items, "a", kNow, kGroupLeaseDuration, "n1")
      .value();
}

// Guards against two holders while clocks differ by less than the margin.
TEST(Group, ClaimIsRefusedUntilLeaseAndMarginEnd) {
  const group_record held = Claimed(2);
  const wall_time free = kNow + kGroupLeaseDuration + kLeaseTakeoverMargin;
  const auto claim = [&held](wall_time at) {
    return Claim(held, 2, "b", at, kGroupLeaseDuration, "n2");
  };
  EXPECT_EQ(claim(free - std::chrono::milliseconds(1)).error().kind(),
            error_kind::overloaded);
  EXPECT_EQ(claim(free)->fence, held.fence + 1);
}

// Guards against a second run of an item that must not be repeated.
TEST(Group, Rule10_TakeoverEndsOpenIntents) {
  const std::vector<std::size_t> guarded{0};
  const group_record held =
      RecordIntents(Claimed(2), {"a", 1}, guarded, kNow, "n2").value();
  EXPECT_EQ(NextItems(held, {}, 5), std::vector<std::size_t>{1});
  EXPECT_FALSE(Release(held, {"a", 1}, "n3"));
  const group_record taken = Claim(held, 2, "b", kNow + std::chrono::hours(1),
                                   kGroupLeaseDuration, "n3")
                                 .value();
  EXPECT_EQ(taken.items[0].failure, error_kind::unknown_outcome);
  EXPECT_EQ(taken.items[1].state, item_state::pending);
  EXPECT_EQ(Commit(taken, {"a", 1}, "", {}, kNow, "n4").error().kind(),
            error_kind::conflict);
}

// Guards against a record that exceeds a store value or cannot be parsed again.
TEST(Group, FullRecordFitsAndRoundTrips) {
  group_record record = Claimed(1000);
  std::vector<item_result> results;
  for (std::size_t i = 0; i < 1000; ++i) {
    item_result each;
    each.item = i;
    each.outcome = item_result::run_outcome::failed;
    // The cut at 256 bytes falls inside a two-byte character.
    each.message = (i % 3 == 0 ? std::string(255, '"') + "\xC3\xA9"
                               : std::string(300, i % 3 == 1 ? '\1' : '\xff'));
    results.push_back(each);
  }
  record = Commit(record, {"a", 1}, "1-1", results, kNow, "n2").value();
  EXPECT_EQ(record.state, group_state::done);
  EXPECT_LT(record.ToJson().size(), 1'000'000U);
  EXPECT_EQ(group_record::Parse(record.ToJson()).value(), record);
  EXPECT_FALSE(group_record::Parse("{}"));
}

// Guards against suspects that take other items down with them, and against
// crashes without bound.
TEST(Group, Rule14_SuspectsRunAloneAndEnd) {
  group_record record = Claimed(3);
  run_report died;
  died.engine_died = true;
  const std::vector<item_result> crash{
      ClassifyResult(1, record.items[1], died)};
  record = Commit(record, {"a", 1}, "", crash, kNow, "n2").value();
  EXPECT_EQ(NextItems(record, {}, 3), (std::vector<std::size_t>{0, 2}));
  const std::vector<std::size_t> others{0, 2};
  EXPECT_TRUE(NextItems(record, others, 1).empty());
  record.items[0].state = record.items[2].state = item_state::completed;
  EXPECT_EQ(NextItems(record, {}, 3), std::vector<std::size_t>{1});
  const std::vector<std::size_t> suspect{1};
  EXPECT_TRUE(NextItems(record, suspect, 2).empty());
  died.ran_alone = true;
  EXPECT_EQ(ClassifyResult(1, record.items[1], died).failure,
            error_kind::quarantined);
}

// Guards against endless retries, and against a refused run using an attempt.
TEST(Classify, AttemptsAreBounded) {
  using run_outcome = item_result::run_outcome;
  group_item item;
  run_report report;
  report.http_status = 500;
  EXPECT_EQ(ClassifyResult(0, item, report).outcome, run_outcome::retry);
  report.repeatable = false;
  EXPECT_EQ(ClassifyResult(0, item, report).outcome, run_outcome::failed);
  report.repeatable = true;
  item.attempts = 2;
  EXPECT_EQ(ClassifyResult(0, item, report).outcome, run_outcome::failed);
  report.http_status.reset();
  report.failure = error::Make(error_kind::draining, "leaving");
  const item_result refused = ClassifyResult(0, item, report);
  EXPECT_EQ(refused.outcome, run_outcome::retry);
  EXPECT_FALSE(refused.counts_as_attempt);
}

// Guards against doubled counts and an end that does not cover every item.
TEST(Job, GroupsAreCountedOnce) {
  file_manifest manifest{"acme", 10, 3, {"x", "y"}, {2, 1}};
  job_record job =
      CreateJob("acme", manifest, "/orders", "k", kNow, "n1").value();
  EXPECT_EQ(CreateJob("acme", manifest, "/orders", "k", kNow, "n2")->id,
            job.id);
  EXPECT_NE(CreateJob("acme", manifest, "/orders", "l", kNow, "n2")->id,
            job.id);
  EXPECT_EQ(
      CreateJob("other", manifest, "/orders", "k", kNow, "n2").error().kind(),
      error_kind::not_found);
  job = MarkGroupDone(job, 0, {2, 0, 0}, "n2").value();
  EXPECT_EQ(MarkGroupDone(job, 0, {2, 0, 0}, "n3").value(), job);
  EXPECT_EQ(job_record::Parse(job.ToJson()).value(), job);
  EXPECT_FALSE(MarkGroupDone(job, 1, {2, 0, 0}, "n3"));
  job = MarkGroupDone(job, 1, {0, 1, 0}, "n3").value();
  EXPECT_EQ(job.state, job_state::completed);
  EXPECT_EQ(StartCancel(job, "n4").error().kind(), error_kind::conflict);
}

// Guards against segments above the store's limit and unreadable bodies.
TEST(Segment, SplitsAtLimitAndKeepsAnyBody) {
  segment_builder builder("batch_1", 0);
  item_answer answer;
  answer.custom_id = "c";
  answer.status = 200;
  answer.body = "\xff not JSON " + std::string(400'000, 'x');
  EXPECT_TRUE(builder.Add(answer).value());
  EXPECT_TRUE(builder.Add(answer).value());
  EXPECT_FALSE(builder.Add(answer).value());
  group_record record = Claimed(1);
  std::vector<item_result> results(1);
  record = Commit(record, {"a", 1}, "1-1", results, kNow, "n2").value();
  const std::string text = builder.Take();
  EXPECT_LT(text.size(), kMaxSegmentBytes);
  EXPECT_EQ(ReadSegment(text, record, 0)->output, text);
  answer.body.append(600'000, 'x');
  EXPECT_EQ(builder.Add(answer).error().kind(), error_kind::too_large);
  EXPECT_EQ(
      ReadUsage(R"({"usage":{"prompt_tokens":3,"completion_tokens":-1}})"),
      (token_usage{3, 0}));
}

// Guards against numbers that change on the way, and against a body that is
// taken from another place than the one that was checked.
TEST(Segment, Rule08_BodiesAreKeptAsTheyCame) {
  const std::string body =
      R"({"total": 123456789012345678901234, "price":1.50,"t":"}\",[\\"})";
  const std::string item =
      R"( {"body":{"a":[{"body":1}]}, "method":"POST","url":"/orders",)"
      R"("n":-1.5e3 ,"custom_id":"a\"body" , "b\u006fdy" : )" +
      body + " } ";
  EXPECT_EQ(ParseItem(item).value().body, body);
  item_answer answer;
  answer.status = 200;
  answer.body = "{\n\"n\":1.50\r\n}";
  EXPECT_EQ(FormatResultLine("batch_1", 2, answer),
            R"({"id":"batch_1-2-0","custom_id":"","response":)"
            R"({"status_code":200,"request_id":"",)"
            R"("body":{ "n":1.50  }},"error":null})");
}

// Guards against an account that gains by sending more jobs, and against
// holders that all try the same group first.
TEST(JobPicker, FollowsWeightsAndSpreadsHolders) {
  std::vector<open_job_entry> entries{{"j1", "large", 3.0, kNow, ""},
                                      {"j0", "small", 1.0, kNow, ""}};
  for (int i = 2; i < 12; ++i) {
    entries.push_back({"j" + std::to_string(i), "small", 1.0,
                       kNow + std::chrono::seconds(i), ""});
  }
  EXPECT_EQ(open_job_entry::Parse(entries[2].ToJson()).value(), entries[2]);
  job_picker picker("holder");
  std::map<std::size_t, int> picks;
  for (int i = 0; i < 4000; ++i) {
    ++picks[picker.PickJob(entries).value()];
  }
  EXPECT_EQ(picks.size(), 2U) << "only the oldest job of an account is picked";
  EXPECT_NEAR(picks[0], 3000, 150);
  job_record job;
  job.id = "j";
  job.done.assign(100, false);
  std::set<std::size_t> starts;
  for (int i = 0; i < 16; ++i) {
    starts.insert(job_picker("s" + std::to_string(i)).GroupOrder(job).front());
  }
  EXPECT_GE(starts.size(), 12U);
}

// Guards against an invoice line without its evidence.
TEST(Accounting, NamesSegmentAndFailure) {
  group_record record = Claimed(3);
  std::vector<item_result> results(2);
  results[0].tokens = {5, 7};
  results[1].item = 1;
  results[1].outcome = item_result::run_outcome::failed;
  results[1].failure = error_kind::too_large;
  record = Commit(record, {"a", 1}, "1-1", results, kNow, "n2").value();
  record = CloseForCancel(record, 3, "n3");
  const auto lines =
      MakeAccountingLines(4, 4000, record, {"x", "y", "z"}).value();
  EXPECT_EQ(lines[0].ToJson(),
            R"({"item":4000,"custom_id":"x","state":"completed","attempts":1,)"
            R"("prompt_tokens":5,"completion_tokens":7,"segment":"4/1-1",)"
            R"("error":""})");
  EXPECT_EQ(lines[1].failure, "too_large");
  EXPECT_EQ(lines[2].state, item_state::cancelled);
  EXPECT_FALSE(MakeAccountingLines(4, 4000, record, {"x"}));
}

}  // namespace
}  // namespace cardamomyard
