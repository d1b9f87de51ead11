#include <gtest/gtest.h>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

// Guards against text that holds half an event or one event twice.
TEST(EventReader, KeepsHalfEventsBack) {
  event_reader reader;
  EXPECT_TRUE(reader.Feed("id: 1\ndata: on").empty());
  const auto events = reader.Feed("e\n\nid: 2\ndata: two\ndata: more\n\nid: 3");
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0], (stream_event{1, "one", "id: 1\ndata: one\n\n"}));
  EXPECT_EQ(events[1].data, "two\nmore");
  EXPECT_FALSE(reader.at_boundary());
}

// Guards against line ends of other servers.
TEST(EventReader, AcceptsCarriageReturns) {
  event_reader reader;
  const auto events = reader.Feed("id: 7\r\ndata: x\r\n\r\n");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].id, 7);
  EXPECT_EQ(events[0].data, "x");
  EXPECT_TRUE(reader.at_boundary());
}

// Guards against events lost or joined where a piece ends inside one, and
// against a chat stream that looks finished too early.
TEST(EventReader, JoinsPiecesAndSeesTheClosingEvent) {
  event_reader reader;
  EXPECT_TRUE(reader.Feed("data: {\"a\"").empty());
  auto events = reader.Feed(":1}\n\ndata: x\n");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].data, "{\"a\":1}");
  EXPECT_FALSE(reader.done());
  events = reader.Feed("\ndata: [DONE]\n\n");
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0].data, "x");
  EXPECT_EQ(events[1].data, kStreamEnd);
  EXPECT_TRUE(reader.done());
}

}  // namespace
}  // namespace cardamomyard
