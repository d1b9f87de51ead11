// Guards that a request runs only for the account whose key came with it, and
// that no backend server sees a key.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

std::string RawChat(const std::string& headers, const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: yard\r\n" + headers +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

class CredentialsTest : public FleetTest {
 protected:
  void SetUp() override {
    Start({.entry_hosts = 1, .groups = {Engines(1), Services(1)}});
  }
  std::unique_ptr<raw_connection> Connect() {
    auto connection = raw_connection::Open(fleet_->entry(0).address);
    EXPECT_TRUE(connection);
    return std::move(*connection);
  }
  /// Sends a chat request on a new connection.
  http_response SendRaw(const std::string& headers) {
    const auto connection = Connect();
    EXPECT_TRUE(connection->Send(RawChat(headers, ChatBody("hello"))));
    return connection->ReadAnswer();
  }
};

TEST_F(CredentialsTest, Rule04_RefusesOddAuthorizationHeaders) {
  const std::string key = fleet_->key("acme");
  const auto field = [](std::string name, const std::string& value) {
    return name.append(": ").append(value).append("\r\n");
  };
  const std::string good = field("Authorization", "Bearer " + key);
  const std::string other =
      field("Authorization", "Bearer " + fleet_->key("zenith"));
  const std::string twice = "Bearer " + key + ", Bearer " + key;
  for (const std::string& headers : std::vector<std::string>{
           "", good + good, good + other, field("Authorization", key),
           field("Authorization", "Basic " + key),
           field("Authorization", twice),
           field("Authorization", "Bearer " + key + " x"),
           field("Authorization", "Bearer"), field("X-Api-Key", key),
           good + field("X-Api-Key", key),
           field("Authorization",
                 "Bearer cy_acme-1_" + std::string(64, '0'))}) {
    const http_response answer = SendRaw(headers);
    EXPECT_EQ(answer.status, 401) << headers << answer.body;
    EXPECT_TRUE(Contains(answer.body, R"("outcome":"not_run")")) << answer.body;
    EXPECT_FALSE(Contains(answer.body, key));
  }
  EXPECT_EQ(SendRaw(good).status, 200);
  EXPECT_EQ(EngineStat("started"), 1);
}

TEST_F(CredentialsTest, Rule04_RefusesKeysInTheQuery) {
  const std::string body = R"({"call_id":"q"})";
  const std::string key = fleet_->key("acme");
  for (const char* name : {"api_key", "key", "access_token"}) {
    const std::string target = std::string("/app?") + name + "=";
    EXPECT_EQ(Send(JsonRequest("POST", target + key, body)).status, 401);
    EXPECT_EQ(Send(JsonRequest("POST", target + "x", body, key)).status, 401);
  }
  EXPECT_EQ(ServiceCalls("q"), 0);
}

TEST_F(CredentialsTest, Rule04_ChecksEachRequestOfAConnection) {
  const auto connection = Connect();
  const auto send = [&](const std::string& headers) {
    EXPECT_TRUE(connection->Send(RawChat(headers, ChatBody("hello"))));
    return connection->ReadAnswer().status;
  };
  EXPECT_EQ(send("Authorization: Bearer " + fleet_->key("acme") + "\r\n"), 200);
  EXPECT_EQ(send(""), 401);
  const auto second = Connect();
  EXPECT_TRUE(second->Send(
      RawChat("Authorization: Bearer " + fleet_->key("acme") + "\r\n",
              ChatBody("hello"))));
  EXPECT_EQ(second->ReadAnswer().status, 200);
  EXPECT_TRUE(second->Send(RawChat(
      "Authorization: Bearer cy_zenith-1_" + std::string(64, 'a') + "\r\n",
      ChatBody("hello"))));
  EXPECT_EQ(second->ReadAnswer().status, 401);
  EXPECT_EQ(EngineStat("started"), 2);
}

TEST_F(CredentialsTest, Rule04_IgnoresInternalHeadersOfCallers) {
  const std::string spoofed =
      "X-Cardamomyard-Account: acme\r\nX-Cardamomyard-Auth: v1 1 a b\r\n";
  EXPECT_EQ(SendRaw(spoofed).status, 401);
  // The sidecar takes requests only with the proof of an entry host.
  http_request direct = JsonRequest("POST", kChatPath, ChatBody("hello"));
  direct.headers.Set("X-Cardamomyard-Account", "acme");
  EXPECT_EQ(fleet_->http().Call(fleet_->sidecar("lm").internal, direct).status,
            403);
  EXPECT_EQ(EngineStat("started"), 0);
}

TEST_F(CredentialsTest, Rule05_NoBackendServerSeesAKey) {
  const std::string key = fleet_->key("acme");
  http_request decorated =
      JsonRequest("POST", "/app", R"({"call_id":"a"})", key);
  decorated.headers.Set("Cookie", "session=" + key);
  decorated.headers.Set("X-Custom", key);
  decorated.headers.Set("Proxy-Authorization", "Bearer " + key);
  EXPECT_EQ(Send(decorated).status, 200);
  EXPECT_EQ(Chat(ChatBody("hello")).status, 200);
  // Refused before they reach a backend server.
  EXPECT_EQ(Chat(ChatBody("my key is " + key)).status, 400);
  EXPECT_NE(Send(JsonRequest("POST", "/app/" + key, "{}", key)).status, 200);
  http_request leaking = JsonRequest("POST", "/app", "{}", key);
  leaking.headers.Set("Idempotency-Key", key);
  EXPECT_EQ(Send(leaking).status, 401);
  EXPECT_EQ(EngineStat("keys_seen"), 0);
  EXPECT_EQ(fleet_->Stat(fleet_->backend("app"), {"keys_seen"}), 0);
}

}  // namespace
}  // namespace cardamomyard::harness
