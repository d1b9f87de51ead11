// Batch items whose fields would not be data in the head of a request.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>

#include "cardamomyard/base.h"
#include "platform_fixture.h"

namespace cardamomyard {
namespace {

namespace json = boost::json;

class item_fields : public platform_fixture {
 protected:
  /// \returns a job of one item.
  static std::string Job(const std::string& path,
                         const std::string& header,
                         const std::string& value) {
    return json::serialize(json::object{
        {"items",
         json::array{json::object{{"id", "i-0"},
                                  {"path", path},
                                  {"headers", json::object{{header, value}}},
                                  {"body", Base64Encode("do it")},
                                  {"tokens", 100}}}}});
  }

  http_response SubmitBody(const host& gateway,
                           const std::string& job,
                           const std::string& body) {
    return client().Call(gateway.front,
                         Request("POST", "/lots/" + job, job, body));
  }
};

TEST_F(item_fields, Rule08_LineBreaksAreRefusedAndRunNowhere) {
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  const std::string inner =
      "\r\n\r\nPOST /draft/1 HTTP/1.1\r\nHost: shop.example\r\n"
      "Request-Id: inner\r\nTenant: other\r\nContent-Length: 0";
  int number = 0;
  for (const auto& [path, header, value, named] :
       {std::tuple{std::string("/lots/1/x"), std::string("Model"), "m" + inner,
                   std::string("Model")},
        std::tuple{std::string("/lots/1/x"), "Model: m" + inner,
                   std::string("m"), std::string("name of a header")},
        std::tuple{"/lots/1/x HTTP/1.1" + inner, std::string("Model"),
                   std::string("m"), std::string("path")},
        std::tuple{std::string("/lots/1/x"), std::string("Model"),
                   std::string(72 * 1024, 'm'), std::string("Model")}}) {
    const std::string job = "j" + std::to_string(++number);
    const http_response answer =
        SubmitBody(gateway, job, Job(path, header, value));
    EXPECT_EQ(answer.status, 400) << answer.body;
    EXPECT_NE(answer.body.find("i-0"), std::string::npos) << answer.body;
    EXPECT_NE(answer.body.find(named), std::string::npos) << answer.body;
    EXPECT_TRUE(Results(gateway, job).empty());
  }
  EXPECT_EQ(Submit(gateway, "sound", 4, "item").status, 202);
  EXPECT_TRUE(AllListed(gateway, "sound", 4)) << Log("w1");
  EXPECT_EQ(Runs("inner"), 0U);
  EXPECT_EQ(Runs("i-0"), 0U);
}

// Earlier versions stored such items.
TEST_F(item_fields, Rule08_StoredItemThatCannotBeSentIsADeadLetter) {
  const host gateway = StartGateway("g1");
  ASSERT_EQ(SubmitBody(gateway, "j1", Job("/lots/1/x", "Model", "MARK")).status,
            202);
  std::string stored(store().Spec("batch-job", "j1").as_string());
  const std::size_t mark = stored.find("MARK");
  ASSERT_NE(mark, std::string::npos) << stored;
  stored.replace(mark, 4, "m\\r\\n\\r\\nPOST /draft/1 HTTP/1.1");
  store().Put("batch-job", "j1", json::string(stored));
  const host worker = StartWorker("w1", gateway);
  EXPECT_TRUE(AllListed(gateway, "j1", 1)) << Log("w1");
  const json::object results = Results(gateway, "j1");
  EXPECT_EQ(results.at("results").at(0).at("state"), "dead_letter");
  EXPECT_TRUE(Logged("w1", "A run of a batch item ended.", "the header Model"));
  EXPECT_TRUE(worker.process->Running());
  EXPECT_EQ(Runs("i-0"), 0U);
}

TEST_F(item_fields, TraceWithABodyEndsNoProcess) {
  const host gateway = StartGateway("g1");
  const auto answer =
      client().Stream(gateway.front, Request("POST", "/ask/1", "r1", "hello"));
  EXPECT_EQ(answer.status, 200);
  const auto raw = harness::raw_connection::Open(gateway.front);
  ASSERT_TRUE(raw);
  ASSERT_TRUE((*raw)->Send(
      "TRACE /ask/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r2\r\n"
      "Authorization: Token " +
      std::string(kKey) + "\r\nContent-Length: 5\r\n\r\nhello"));
  EXPECT_EQ((*raw)->ReadAnswer().status, 400);
  EXPECT_TRUE(gateway.process->Running()) << Log("g1");
  const http_request sound = Request("POST", "/ask/1", "r3", "hello");
  EXPECT_EQ(client().Call(gateway.front, sound).status, 200);
}

TEST_F(item_fields, RequestWithAHugeHeaderEndsNoProcess) {
  Configure(2, {kKey}, {MakeRoute("ask", "streaming", true)},
            {{"max-header-bytes", 200'000}});
  const host gateway = StartGateway("g1");
  const auto raw = harness::raw_connection::Open(gateway.front);
  ASSERT_TRUE(raw);
  ASSERT_TRUE((*raw)->Send(
      "POST /ask/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r2\r\n"
      "Model: " +
      std::string(66 * 1024, 'm') + "\r\nContent-Length: 0\r\n\r\n"));
  const http_response refused = (*raw)->ReadAnswer();
  EXPECT_GE(refused.status, 400);
  EXPECT_LT(refused.status, 500);
  EXPECT_TRUE(gateway.process->Running()) << Log("g1");
  const http_request sound = Request("POST", "/ask/1", "r1", "hello");
  EXPECT_EQ(client().Call(gateway.front, sound).status, 200);
}

}  // namespace
}  // namespace cardamomyard
