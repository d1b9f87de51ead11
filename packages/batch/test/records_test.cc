#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "cardamomyard/batch.h"

namespace cardamomyard {
namespace {

constexpr wall_time kNow{std::chrono::hours(1000)};

group_record ClaimedGroup(std::size_t items) {
  return Claim(std::nullopt, items, "a", kNow, kGroupLeaseDuration, "n1")
      .value();
}

// A process whose clock is ahead by less than the margin could take over a
// group while its holder considers the lease valid.
TEST(Group, ClaimIsRefusedUntilLeaseAndMarginEnd) {
  const group_record held = ClaimedGroup(2);
  const wall_time takeover_time =
      kNow + kGroupLeaseDuration + kLeaseTakeoverMargin;
  const auto claim = [&held](wall_time at) {
    return Claim(held, 2, "b", at, kGroupLeaseDuration, "n2");
  };
  EXPECT_EQ(claim(takeover_time - std::chrono::milliseconds(1)).error().kind(),
            error_kind::overloaded);
  EXPECT_EQ(claim(takeover_time)->fence, held.fence + 1);
}

// A non-repeatable item could run a second time after a takeover of its group.
TEST(Group, Rule10_TakeoverEndsOpenIntents) {
  const std::vector<std::size_t> non_repeatable{0};
  const group_record held =
      RecordIntents(ClaimedGroup(2), {"a", 1}, non_repeatable, kNow, "n2")
          .value();
  EXPECT_EQ(NextItems(held, {}, 5), std::vector<std::size_t>{1});
  EXPECT_FALSE(Release(held, {"a", 1}, "n3"));
  const group_record taken_over =
      Claim(held, 2, "b", kNow + std::chrono::hours(1), kGroupLeaseDuration,
            "n3")
          .value();
  EXPECT_EQ(taken_over.items[0].failure, error_kind::unknown_outcome);
  EXPECT_EQ(taken_over.items[1].state, item_state::pending);
  EXPECT_EQ(Commit(taken_over, {"a", 1}, "", {}, kNow, "n4").error().kind(),
            error_kind::conflict);
}

// Long messages could make a record larger than a value of the store, and
// cutting them, or invalid UTF-8 in them, could make it impossible to parse.
TEST(Group, FullRecordFitsAndRoundTrips) {
  group_record record = ClaimedGroup(1000);
  std::vector<item_result> results;
  for (std::size_t i = 0; i < 1000; ++i) {
    item_result failed_item;
    failed_item.item = i;
    failed_item.outcome = item_result::run_outcome::failed;
    // The cut at 256 bytes falls inside a two-byte character.
    failed_item.message =
        (i % 3 == 0 ? std::string(255, '"') + "\xC3\xA9"
                    : std::string(300, i % 3 == 1 ? '\1' : '\xff'));
    results.push_back(failed_item);
  }
  record = Commit(record, {"a", 1}, "1-1", results, kNow, "n2").value();
  EXPECT_EQ(record.state, group_state::done);
  EXPECT_LT(record.ToJson().size(), 1'000'000U);
  EXPECT_EQ(group_record::Parse(record.ToJson()).value(), record);
  EXPECT_FALSE(group_record::Parse("{}"));
}

// A poison item fails the items that run beside it when it crashes the engine,
// and could crash engines without limit.
TEST(Group, Rule14_SuspectsRunAloneAndEnd) {
  group_record record = ClaimedGroup(3);
  run_report crashed_run;
  crashed_run.engine_died = true;
  const std::vector<item_result> crash_results{
      ClassifyResult(1, record.items[1], crashed_run)};
  record = Commit(record, {"a", 1}, "", crash_results, kNow, "n2").value();
  EXPECT_EQ(NextItems(record, {}, 3), (std::vector<std::size_t>{0, 2}));
  const std::vector<std::size_t> others{0, 2};
  EXPECT_TRUE(NextItems(record, others, 1).empty());
  record.items[0].state = record.items[2].state = item_state::completed;
  EXPECT_EQ(NextItems(record, {}, 3), std::vector<std::size_t>{1});
  const std::vector<std::size_t> suspect{1};
  EXPECT_TRUE(NextItems(record, suspect, 2).empty());
  crashed_run.ran_alone = true;
  for (std::uint32_t crash = 1; crash < kMaxLoneCrashes; ++crash) {
    const std::vector<item_result> again{
        ClassifyResult(1, record.items[1], crashed_run)};
    ASSERT_EQ(again[0].outcome, item_result::run_outcome::suspect) << crash;
    record = Commit(record, {"a", 1}, "", again, kNow, "n3").value();
  }
  EXPECT_EQ(ClassifyResult(1, record.items[1], crashed_run).failure,
            error_kind::quarantined);
}

// Two crashes beside other requests and one alone ended a sound item as failed.
TEST(Group, Rule01_ItemUnderWhichEnginesCrashedIsPlacedAgain) {
  group_record record = ClaimedGroup(1);
  run_report crashed_run;
  crashed_run.engine_died = true;
  for (int crash = 0; crash < 6; ++crash) {
    const std::vector<item_result> results{
        ClassifyResult(0, record.items[0], crashed_run)};
    record = Commit(record, {"a", 1}, "", results, kNow, "n").value();
    ASSERT_EQ(NextItems(record, {}, 1), std::vector<std::size_t>{0}) << crash;
  }
}

// An item that always fails could be retried forever, and a refused run could
// use up an attempt.
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

// A group that is marked done twice could be counted twice, and a job could end
// before every item is counted.
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

// A segment could exceed the limit of the store, and a body that is not JSON
// could make it unreadable.
TEST(Segment, SplitsAtLimitAndKeepsAnyBody) {
  segment_builder builder("batch_1", 0);
  item_answer answer;
  answer.custom_id = "c";
  answer.status = 200;
  answer.body = "\xff not JSON " + std::string(400'000, 'x');
  EXPECT_TRUE(builder.Add(answer).value());
  EXPECT_TRUE(builder.Add(answer).value());
  EXPECT_FALSE(builder.Add(answer).value());
  group_record record = ClaimedGroup(1);
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

// Parsing and serializing a body could change its numbers, and a search for the
// member `body` in the text could find another place than the validated one.
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

// An account could get a larger share by submitting more jobs, and all holders
// could contend for the same group.
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

// An accounting line without its segment or failure could not be verified.
TEST(Accounting, NamesSegmentAndFailure) {
  group_record record = ClaimedGroup(3);
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
