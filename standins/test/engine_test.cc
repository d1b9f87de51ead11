#include "engine/engine_service.h"

#include <boost/json.hpp>
#include <vector>

#include "standin_fixture.h"

namespace cardamomyard::standins {
namespace {

class engine_fixture : public standin_fixture {
 protected:
  void Start(engine_options options = {}) {
    auto engine = std::make_unique<engine_service>(std::move(options));
    engine_ = engine.get();
    Serve(std::move(engine));
  }

  http_response Complete(const std::string& fields) {
    return Call("POST", "/v1/completions", "{" + fields + "}");
  }

  static std::string Text(const http_response& answer) {
    const auto body = boost::json::parse(answer.body);
    return std::string(body.at("choices").at(0).at("text").as_string());
  }

  engine_service* engine_ = nullptr;
};

// Guards against sequences that run one after another, and against a batch
// above its bound.
TEST_F(engine_fixture, RunsSequencesTogetherUpToTheBatchSize) {
  engine_options options;
  options.step_ms = 2;
  options.step_per_seq_ms = 0;
  options.max_batch = 16;
  Start(options);
  const host_clock time;
  const time_point started = time.Now();
  std::vector<std::future<result<http_response>>> calls;
  calls.reserve(32);
  for (int i = 0; i < 32; ++i) {
    calls.push_back(
        Begin("POST", "/v1/completions", R"({"prompt":"p","max_tokens":50})"));
  }
  for (auto& call : calls) {
    const auto answer = call.get();
    ASSERT_TRUE(answer) << answer.error().message();
    EXPECT_EQ(answer->status, 200);
  }
  const auto took = time.Now() - started;
  // Two batches of 50 steps take 0.2 s at least; one by one 3.2 s.
  EXPECT_GE(took, std::chrono::milliseconds(195));
  EXPECT_LT(took, std::chrono::milliseconds(1600));
  EXPECT_EQ(Stat("tokens"), 32 * 50);
}

// Guards against a resumed stream that repeats, skips or changes a token.
TEST_F(engine_fixture, ResumeContinuesTheSameText) {
  Start();
  const auto whole = Complete(R"("prompt":"abc","max_tokens":20)");
  const auto head = Complete(R"("prompt":"abc","max_tokens":8)");
  const auto rest = Complete(
      R"("prompt":"abc","max_tokens":20,"resume":{"id":"cmpl-2","tokens":8})");
  EXPECT_EQ(Text(whole), Text(head) + Text(rest));
  EXPECT_EQ(Stat("tokens"), 20 + 20);
  EXPECT_NE(rest.body.find(R"("completion_tokens":12)"), std::string::npos);
}

// Guards against streams whose text differs from the whole answer.
TEST_F(engine_fixture, StreamsTheSameTokens) {
  Start();
  const auto stream =
      Complete(R"("prompt":"abc","max_tokens":5,"stream":true)");
  std::string text;
  std::size_t at = 0;
  while ((at = stream.body.find("data: {", at)) != std::string::npos) {
    const auto end = stream.body.find("\n\n", at);
    const auto chunk =
        boost::json::parse(stream.body.substr(at + 6, end - at - 6));
    text += std::string(chunk.at("choices").at(0).at("text").as_string());
    at = end;
  }
  EXPECT_EQ(text, Text(Complete(R"("prompt":"abc","max_tokens":5)")));
  EXPECT_TRUE(stream.body.ends_with("data: [DONE]\n\n"));
}

// Guards against an engine that goes on generating for a caller who left.
TEST_F(engine_fixture, Rule02_ClosedConnectionCancels) {
  Start();
  http_request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = R"({"prompt":"p","max_tokens":1000000,"stream":true})";
  auto call = boost::asio::co_spawn(
                  threads_.At(0),
                  client_->Open(host_->address(), request, call_options()),
                  boost::asio::use_future)
                  .get();
  ASSERT_TRUE(call);
  EXPECT_EQ(Stat("cancelled"), 0);
  boost::asio::post(threads_.At(0),
                    [open = std::move(*call)]() mutable { open.reset(); });
  EXPECT_TRUE(WaitForStat("cancelled", 1));
}

// Guards against a cancel that a waiting or running sequence ignores.
TEST_F(engine_fixture, CancelEndsASequenceByRequestId) {
  Start();
  header_list headers;
  headers.Set("X-Request-Id", "r1");
  auto running = Begin("POST", "/v1/completions",
                       R"({"prompt":"p","max_tokens":1000000})", headers);
  ASSERT_TRUE(WaitForStat("started", 1));
  EXPECT_EQ(Call("POST", "/v1/cancel", R"({"id":"r1"})").body,
            R"({"cancelled":true})");
  const auto answer = running.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 499);
  EXPECT_EQ(Stat("cancelled"), 1);
}

// Guards against an engine that obeys an order of a former lease holder.
TEST_F(engine_fixture, FencingRefusesOldOrders) {
  engine_options options;
  options.check_fencing = true;
  Start(options);
  const auto order = [this](int fence) {
    return Call("POST", "/orders",
                R"({"order":"load_model","name":"m","version":"1","fence":)" +
                    std::to_string(fence) + "}")
        .status;
  };
  EXPECT_EQ(order(2), 200);
  EXPECT_EQ(order(1), 409);
  EXPECT_EQ(order(2), 200);
}

// Guards against a crash that spares the sequences beside it, or from which
// the engine does not come back.
TEST_F(engine_fixture, CrashDropsEverySequenceAndRestarts) {
  Start();
  engine_->set_on_crash(
      [this] { host_->RefuseFor(std::chrono::milliseconds(30)); });
  auto beside = Begin("POST", "/v1/completions",
                      R"({"prompt":"p","max_tokens":1000000})");
  ASSERT_TRUE(WaitForStat("started", 1));
  EXPECT_EQ(Complete(R"("prompt":"CRASH_ENGINE")").status, 0);
  EXPECT_FALSE(beside.get());
  ASSERT_TRUE(WaitForStat("crashes", 1));
  EXPECT_EQ(Complete(R"("prompt":"p")").status, 200);
}

// Guards against KV state that a second engine does not accept as exported.
TEST_F(engine_fixture, KvStateIsExportedAndImported) {
  Start();
  Complete(R"("prompt":")" + std::string(256, 'p') + R"(","max_tokens":4)");
  const auto exported = Call("GET", "/kv/cmpl-1");
  ASSERT_EQ(exported.status, 200);
  Start();
  EXPECT_EQ(Call("GET", "/kv/cmpl-1").status, 404);
  EXPECT_EQ(Call("POST", "/kv", exported.body).status, 200);
  EXPECT_EQ(Call("GET", "/kv/cmpl-1").body, exported.body);
}

// Guards against a caller's key that reaches an engine unnoticed.
TEST_F(engine_fixture, Rule05_KeysAreNoticed) {
  Start();
  Complete(R"("prompt":"p","max_tokens":1)");
  EXPECT_EQ(Stat("keys_seen"), 0);
  Complete(R"("prompt":"p","max_tokens":1,"user":"cy_a_b")");
  EXPECT_EQ(Stat("keys_seen"), 1);
  EXPECT_EQ(Complete(R"("prompt":"REFUSE_ITEM")").status, 400);
}

}  // namespace
}  // namespace cardamomyard::standins
