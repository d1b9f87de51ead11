#include <gtest/gtest.h>

#include "src/node/sidecar/answer_collector.h"
#include "src/node/sidecar/segment_queue.h"

namespace cardamomyard {
namespace {

std::string Event(const std::string& id, const std::string& rest) {
  return R"({"id":")" + id + R"(","model":"m","choices":[{"index":0,)" + rest;
}

std::string Piece(const std::string& id, const std::string& text) {
  return Event(
      id, R"("delta":{"content":")" + text + R"("},"finish_reason":null}]})");
}

// Failure: tokens are generated or counted twice when an item is preempted and
// resumed.
TEST(AnswerCollector, ResumedAnswerIsWhole) {
  answer_collector collected;
  collected.BeginStream();
  EXPECT_TRUE(collected.Feed(Piece("a", "one ")));
  EXPECT_TRUE(collected.Feed(Piece("a", "two ")));
  EXPECT_FALSE(collected.complete());
  const std::string body = collected.StreamRequestBody(R"({"max_tokens":3} )");
  EXPECT_EQ(body, R"({"max_tokens":3,"stream":true,"stream_options":)"
                  R"({"include_usage":true},"resume":{"id":"a","tokens":2}})");
  collected.BeginStream();
  EXPECT_TRUE(collected.Feed(
      Event("b", R"("delta":{"content":"three"},"finish_reason":"length"}],)"
                 R"("usage":{"prompt_tokens":5,"completion_tokens":1}})")));
  EXPECT_TRUE(collected.complete());
  EXPECT_EQ(collected.Usage(), (token_usage{5, 3}));
  EXPECT_NE(collected.AssembledAnswer().find(R"("content":"one two three")"),
            std::string::npos);
}

// Failures: an answer loses a part because its stream holds more than one text;
// an empty object gets a trailing comma.
TEST(AnswerCollector, StreamsOnlyWhatCanBeRebuilt) {
  EXPECT_TRUE(answer_collector::CanStream(R"({"prompt":"x"})"));
  EXPECT_FALSE(answer_collector::CanStream(R"({"prompt":"x","n":2})"));
  EXPECT_FALSE(answer_collector::CanStream(R"({"tools":[]})"));
  EXPECT_EQ(answer_collector().StreamRequestBody("{ }").substr(0, 15),
            R"({ "stream":true)");
}

TEST(AnswerCollector, RefusesEventsOfAnotherKind) {
  answer_collector collected;
  EXPECT_FALSE(collected.Feed(R"({"error":{"kind":"internal"}})"));
  EXPECT_FALSE(collected.Feed("[1]"));
  EXPECT_FALSE(collected.Feed("{"));
}

item_result Completed(std::size_t item) {
  item_result ended;
  ended.item = item;
  return ended;
}

// Failures: the segment of a commit exceeds the platform's limit; results are
// lost between two commits.
TEST(SegmentQueue, SplitsAtTheSegmentLimit) {
  segment_queue queue("batch_1", 0);
  const std::string body = "\"" + std::string(kMaxSegmentBytes / 3, 'x') + "\"";
  for (std::size_t i = 0; i < 3; ++i) {
    item_answer answer;
    answer.status = 200;
    answer.body = body;
    queue.Add(Completed(i), answer);
  }
  EXPECT_TRUE(queue.full());
  const segment_queue::pending_commit first = queue.Next();
  ASSERT_EQ(first.results.size(), 2U);
  EXPECT_LE(first.segment_text.size(), kMaxSegmentBytes);
  queue.Drop(first.results.size());
  const segment_queue::pending_commit second = queue.Next();
  ASSERT_EQ(second.results.size(), 1U);
  EXPECT_EQ(second.results[0].item, 2U);
  queue.Drop(1);
  EXPECT_TRUE(queue.empty());
  EXPECT_FALSE(queue.full());
}

// Failure: an item with too large an answer can never be committed.
TEST(SegmentQueue, AnswerAboveTheLimitFailsItsItem) {
  segment_queue queue("batch_1", 0);
  item_answer answer;
  answer.status = 200;
  answer.body = "\"" + std::string(kMaxSegmentBytes, 'x') + "\"";
  queue.Add(Completed(4), answer);
  const segment_queue::pending_commit next = queue.Next();
  ASSERT_EQ(next.results.size(), 1U);
  EXPECT_EQ(next.results[0].outcome, item_result::run_outcome::failed);
  EXPECT_EQ(next.results[0].failure, error_kind::too_large);
  EXPECT_NE(next.segment_text.find("too_large"), std::string::npos);
}

}  // namespace
}  // namespace cardamomyard
