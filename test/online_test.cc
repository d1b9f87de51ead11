// Guards the path caller, entry host, sidecar, backend server for each kind of
// request.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

TEST_F(FleetTest, ServesEveryKindOfOnlineRequest) {
  Start({.groups = {Engines(2), Services(1)}});
  const std::string& key = fleet_->key("acme");

  const http_response whole = Chat(ChatBody("drum sizes"), 1);
  EXPECT_EQ(whole.status, 200) << whole.body;
  EXPECT_TRUE(Contains(whole.body, "\"usage\"")) << whole.body;
  EXPECT_TRUE(whole.headers.Get("X-Request-Id"));

  const stream_answer chat = fleet_->http().Stream(
      fleet_->entry(0).address,
      JsonRequest("POST", kChatPath, ChatBody("drum sizes", 8, true), key));
  EXPECT_TRUE(chat.whole) << chat.failure;
  EXPECT_TRUE(Contains(chat.body, "data: [DONE]")) << chat.body;

  const stream_answer text = fleet_->http().Stream(
      fleet_->entry(0).address,
      JsonRequest(
          "POST", "/v1/completions",
          R"({"model":"lm","prompt":"gourds","max_tokens":5,"stream":true})",
          key));
  EXPECT_TRUE(text.whole) << text.failure;
  EXPECT_TRUE(Contains(text.body, "\"text\"")) << text.body;

  const http_response models = Send(JsonRequest("GET", "/v1/models", "", key));
  EXPECT_EQ(models.status, 200);
  EXPECT_TRUE(Contains(models.body, "\"lm\"")) << models.body;

  const http_response call =
      Send(JsonRequest("POST", "/app/orders", R"({"call_id":"c1"})", key));
  EXPECT_EQ(call.status, 200) << call.body;
  EXPECT_TRUE(Contains(call.body, "\"c1\"")) << call.body;
  EXPECT_EQ(ServiceCalls("c1"), 1);

  const http_response open =
      Send(JsonRequest("POST", "/app-open", R"({"call_id":"c2"})"));
  EXPECT_EQ(open.status, 200) << open.body;

  EXPECT_EQ(Send(JsonRequest("POST", "/app", R"({"call_id":"c3"})")).status,
            401);
  EXPECT_EQ(ServiceCalls("c2"), 1);
  EXPECT_EQ(ServiceCalls("c3"), 0);
}

}  // namespace
}  // namespace cardamomyard::harness
