#include "src/node/entry/admin_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "src/node/entry/usage_ledger.h"
#include "store_fixture.h"

namespace cardamomyard {
namespace {

constexpr const char* kToken = "0123456789abcdef-token";

/// An exchange that keeps the answer.
class recorded_exchange final : public http_exchange {
 public:
  explicit recorded_exchange(http_request request)
      : body_(std::move(request.body)), request_(std::move(request)) {
    request_.body.clear();
  }
  const http_request& request() const override { return request_; }
  const std::string& remote_ip() const override { return ip_; }
  boost::asio::awaitable<result<std::string>> ReadBody(
      std::size_t limit) override {
    if (body_.size() > limit) {
      co_return Fail(error_kind::too_large, "the body is too large");
    }
    co_return body_;
  }
  boost::asio::awaitable<result<std::string>> ReadSome() override {
    co_return std::string();
  }
  boost::asio::awaitable<result<void>> HoldMemory(
      std::size_t /*bytes*/) override {
    co_return result<void>();
  }
  void ReleaseMemory(std::size_t /*bytes*/) override {}
  boost::asio::awaitable<result<void>> Send(http_response response) override {
    answer = std::move(response);
    co_return result<void>();
  }
  boost::asio::awaitable<result<void>> StartStream(
      int status,
      header_list headers) override {
    answer.status = status;
    answer.headers = std::move(headers);
    co_return result<void>();
  }
  boost::asio::awaitable<result<void>> Write(std::string chunk) override {
    answer.body += chunk;
    co_return result<void>();
  }
  boost::asio::awaitable<result<void>> Finish() override {
    co_return result<void>();
  }
  void Abort() override {}
  bool answer_started() const override { return answer.status != 0; }
  bool PeerClosed() override { return false; }
  void WatchPeer(std::function<void()> /*closed*/) override {}

  http_response answer{0, {}, ""};

 private:
  std::string body_;
  http_request request_;
  std::string ip_ = "127.0.0.1";
};

class admin_api_test : public store_fixture {
 protected:
  void SetUp() override {
    store_fixture::SetUp();
    common_settings common;
    common.id = "entry-1";
    common.store = host_->address();
    common.secret = "0123456789abcdef";
    common.threads = 1;
    context_ = std::move(*process_context::Create(common));
    config_ = std::make_unique<config_follower>(*context_);
    backends_ = std::make_unique<backend_registry>(*context_);
    writer_ = std::make_unique<config_writer>(
        context_->store(), context_->time(),
        [this] {
          const auto view = config_->view();
          return view ? view->snapshot : nullptr;
        },
        [this]() -> boost::asio::awaitable<void> {
          co_await boost::asio::co_spawn(context_->control(),
                                         config_->ReadStore(),
                                         boost::asio::use_awaitable);
        });
    admin_services services;
    services.context = context_.get();
    services.config = config_.get();
    services.writer = writer_.get();
    services.backends = backends_.get();
    services.token = kToken;
    api_ = std::make_unique<admin_api>(services);
  }

  void TearDown() override {
    context_->StopThreads();
    // Idle connections refer to contexts that the destructor would destroy
    // first.
    [[maybe_unused]] const auto* leaked = context_.release();
  }

  http_response Send(http_request request) {
    caller_request call;
    call.head = request;
    call.head.body.clear();
    call.target = ParseTarget(request.target);
    call.request_id = "test-request";
    recorded_exchange exchange(std::move(request));
    boost::asio::co_spawn(threads_.At(0), api_->Serve(exchange, call),
                          boost::asio::use_future)
        .get();
    return exchange.answer;
  }

  http_response Call(std::string method,
                     std::string target,
                     std::string body = "") {
    http_request request{
        std::move(method), std::move(target), {}, std::move(body)};
    request.headers.Add("Authorization", std::string("Bearer ") + kToken);
    return Send(std::move(request));
  }

  std::unique_ptr<process_context> context_;
  std::unique_ptr<config_follower> config_;
  std::unique_ptr<backend_registry> backends_;
  std::unique_ptr<config_writer> writer_;
  std::unique_ptr<admin_api> api_;
};

constexpr const char* kAccount =
    R"({"rate_per_second":20.0,"burst":40,"weight":1.0,"models":[]})";

TEST_F(admin_api_test, Rule04_ExactlyOneRightTokenIsAccepted) {
  EXPECT_EQ(Call("GET", "/admin/v1/status").status, 200);
  http_request request;
  request.target = "/admin/v1/status";
  EXPECT_EQ(Send(request).status, 401);
  request.headers.Add("Authorization", "Bearer wrong-token");
  EXPECT_EQ(Send(request).status, 401);
  request.headers.Add("Authorization", std::string("Bearer ") + kToken);
  EXPECT_EQ(Send(request).status, 401);
  request.headers = {};
  request.target += std::string("?access_token=") + kToken;
  EXPECT_EQ(Send(request).status, 401);
}

TEST_F(admin_api_test, malformed_calls_are_refused) {
  EXPECT_EQ(Call("GET", "/admin/v1/gourds").status, 404);
  EXPECT_EQ(Call("GET", "/admin/v2/status").status, 404);
  EXPECT_EQ(Call("PATCH", "/admin/v1/accounts/acme", kAccount).status, 404);
  EXPECT_EQ(Call("GET", "/admin/v1/accounts/acme").status, 404);
  EXPECT_EQ(Call("GET", "/admin/v1/batches/..%2fhead").status, 404);
  EXPECT_EQ(Call("PUT", "/admin/v1/accounts/acme", "[]").status, 400);
  EXPECT_EQ(Call("PUT", "/admin/v1/accounts/acme", R"({"tempo":1})").status,
            400);
  EXPECT_EQ(Call("PUT", "/admin/v1/accounts/acme",
                 std::string(admin_api::kMaxBodyBytes + 1, ' '))
                .status,
            413);
  EXPECT_EQ(
      Call("POST", "/admin/v1/keys", R"({"id":"a","account":"acme","x":1})")
          .status,
      400);
  EXPECT_EQ(
      Call("POST", "/admin/v1/config", R"({"author":"ana","files":[]})").status,
      400);
  EXPECT_EQ(
      Call("GET", "/admin/v1/report?account=a&from=2026-13-01&to=x").status,
      400);
}

// Failure: a key is stored, or shown again after its creation.
TEST_F(admin_api_test, Rule05_AKeyIsShownOnceAndNeverStored) {
  ASSERT_EQ(Call("PUT", "/admin/v1/accounts/acme", kAccount).status, 200);
  const std::string body = R"({"id":"acme-1","account":"acme"})";
  const http_response created = Call("POST", "/admin/v1/keys", body);
  ASSERT_EQ(created.status, 200) << created.body;
  EXPECT_TRUE(ContainsKey(created.body));
  EXPECT_EQ(Call("POST", "/admin/v1/keys", body).status, 409);
  EXPECT_FALSE(ContainsKey(Call("GET", "/admin/v1/keys").body));
  const auto stored = Await(store_->ListAll("config/"));
  ASSERT_TRUE(stored);
  for (const auto& entry : *stored) {
    EXPECT_FALSE(ContainsKey((*Await(store_->Get(entry.key)))->value));
  }
}

// Failure: a withdrawal is undone by a repeated call, or is not in force on
// this host when the call returns.
TEST_F(admin_api_test, Rule06_AWithdrawalIsInForceAtOnce) {
  ASSERT_EQ(Call("PUT", "/admin/v1/accounts/acme", kAccount).status, 200);
  ASSERT_EQ(
      Call("POST", "/admin/v1/keys", R"({"id":"acme-1","account":"acme"})")
          .status,
      200);
  EXPECT_FALSE(config_->view()->keys.IsWithdrawn("acme-1"));
  EXPECT_EQ(Call("POST", "/admin/v1/keys/acme-1/withdraw").status, 200);
  EXPECT_TRUE(config_->view()->keys.IsWithdrawn("acme-1"));
  EXPECT_EQ(Call("POST", "/admin/v1/keys/acme-1/withdraw").status, 200);
}

TEST_F(admin_api_test, folder_entities_belong_to_the_folder) {
  const std::string folder =
      R"({"expected_generation":0,"author":"ana","files":[{"name":"a.toml",)"
      R"("text":"[service.ledger-app]\ntimeout_ms = 30000\n"}]})";
  ASSERT_EQ(Call("POST", "/admin/v1/config", folder).status, 200);
  const http_response late = Call("POST", "/admin/v1/config", folder);
  EXPECT_EQ(late.status, 409);
  EXPECT_NE(late.body.find("ana"), std::string::npos);
  const http_response edit = Call("DELETE", "/admin/v1/services/ledger-app");
  EXPECT_EQ(edit.status, 409);
  EXPECT_NE(edit.body.find("a.toml"), std::string::npos);
}

TEST_F(admin_api_test, Rule13_AnOutageIsAnsweredAsNotRun) {
  Control(R"({"outage":true})");
  const http_response refused =
      Call("PUT", "/admin/v1/accounts/acme", kAccount);
  EXPECT_EQ(refused.status, 503);
  EXPECT_NE(refused.body.find("store_unavailable"), std::string::npos);
  EXPECT_NE(refused.body.find("not_run"), std::string::npos);
}

// Failure: an invoice misses items of a job or counts them twice.
TEST_F(admin_api_test, Rule01_EachItemOfAJobIsAccountedForOnce) {
  std::string chunk;
  for (const char* id : {"lot-1", "lot-2", "lot-3"}) {
    chunk += std::string(R"({"custom_id":")") + id +
             R"(","method":"POST","url":"/v1/completions","body":)"
             R"({"model":"hamac-lm","prompt":"x"}})" +
             "\n";
  }
  file_manifest manifest;
  manifest.account = "acme";
  manifest.bytes = chunk.size();
  manifest.items = 3;
  manifest.chunks = {Sha256Hex(chunk)};
  manifest.items_per_chunk = {3};
  const wall_time now = time_.WallNow();
  const auto job =
      CreateJob("acme", manifest, "/v1/completions", "", now, "n1");
  ASSERT_TRUE(job) << job.error().message();
  const auto claimed =
      Claim(std::nullopt, 3, "sidecar-1", now, std::chrono::seconds(15), "n2");
  ASSERT_TRUE(claimed);
  item_result done;
  done.item = 1;
  done.tokens = {5, 7};
  const std::vector<item_result> results{done};
  const auto committed =
      Commit(*claimed, {"sidecar-1", claimed->fence}, SegmentName(1, 1),
             results, now + std::chrono::seconds(15), "n3");
  ASSERT_TRUE(committed) << committed.error().message();
  const std::vector<std::pair<std::string, std::string>> objects{
      {"chunk/" + manifest.chunks[0], chunk},
      {"file/" + manifest.Id(), manifest.ToJson()},
      {"batch/job/" + job->id, job->ToJson()},
      {"batch/group/" + job->id + "/0", committed->ToJson()}};
  for (const auto& [key, value] : objects) {
    ASSERT_TRUE(Await(store_->Put(key, value, write_always())));
  }
  const http_response items =
      Call("GET", "/admin/v1/batches/" + job->id + "/items");
  ASSERT_EQ(items.status, 200) << items.body;
  EXPECT_EQ(std::count(items.body.begin(), items.body.end(), '\n'), 3);
  EXPECT_EQ(items.body.find("lot-2"), items.body.rfind("lot-2"));
  const std::string day = UtcDay(now);
  std::string target = "/admin/v1/report?account=acme&from=" + day;
  target += "&to=" + day;
  const http_response report = Call("GET", target);
  ASSERT_EQ(report.status, 200) << report.body;
  EXPECT_NE(report.body.find(job->id), std::string::npos);
  EXPECT_NE(report.body.find("\"completion_tokens\":7"), std::string::npos);
  const http_response other =
      Call("GET", "/admin/v1/batches?account=somebody-else");
  // The page's cursor names the last job read, whatever its account.
  EXPECT_NE(other.body.find("\"data\":[]"), std::string::npos) << other.body;
}

// One job whose record cannot be read kept operators from listing all others,
// and a page may end with any name.
TEST_F(admin_api_test, JobsThatCannotBeReadHideNoOther) {
  const std::vector<std::string> ids{"a",   "a b", "a#b", "a%41", "a&b",
                                     "a+b", "a/b", "a:b", "a?b",  "\xc3\xa9"};
  for (const std::string& id : ids) {
    ASSERT_TRUE(Await(store_->Put("batch/job/" + id, "{", write_always())));
  }
  file_manifest manifest;
  manifest.account = "acme";
  manifest.items = 1;
  manifest.chunks = {Sha256Hex("chunk")};
  manifest.items_per_chunk = {1};
  const job_record job = *CreateJob("acme", manifest, "/v1/completions", "",
                                    time_.WallNow(), "n1");
  ASSERT_TRUE(
      Await(store_->Put("batch/job/" + job.id, job.ToJson(), write_always())));
  std::set<std::string> cursors;
  std::size_t found = 0;
  std::string after;
  bool more = true;
  while (more) {
    const http_response page =
        Call("GET", MakeTarget({"admin", "v1", "batches"},
                               {{"limit", "1"}, {"start_after", after}}));
    ASSERT_EQ(page.status, 200) << page.body;
    const boost::json::value body = boost::json::parse(page.body);
    found += body.at("data").as_array().size();
    more = body.at("more").as_bool();
    after = body.at("last").as_string();
    ASSERT_TRUE(cursors.insert(after).second) << after;
  }
  EXPECT_EQ(found, 1U);
  EXPECT_EQ(cursors.size(), ids.size() + 1);
}

}  // namespace
}  // namespace cardamomyard
