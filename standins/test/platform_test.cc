#include <optional>

#include "hosts/hosts_service.h"
#include "relay/relay.h"
#include "service/plain_service.h"
#include "standin_fixture.h"
#include "weights/weights_service.h"

namespace cardamomyard::standins {
namespace {

using platform_fixture = standin_fixture;

// Guards against repeated calls that the service does not tell apart.
TEST_F(platform_fixture, ServiceCountsCallsById) {
  Serve(std::make_unique<plain_service>(plain_service_options{}));
  Call("POST", "/orders/1", R"({"call_id":"c"})");
  const auto second = Call("POST", "/orders/1", R"({"call_id":"c"})");
  EXPECT_EQ(
      second.body,
      R"({"service":"service","path":"/orders/1","call_id":"c","count":2})");
  EXPECT_EQ(Stat("calls"), 2);
}

// Guards against a host list that is never old.
TEST_F(platform_fixture, HostListLags) {
  Serve(std::make_unique<hosts_service>(std::chrono::hours(1)));
  Call("PUT", "/v1/hosts/h1", R"({"address":"127.0.0.1:1"})");
  EXPECT_EQ(Call("GET", "/v1/hosts").body, R"({"hosts":[]})");
  Call("POST", "/control", R"({"lag_ms":0})");
  EXPECT_EQ(
      Call("GET", "/v1/hosts").body,
      R"({"hosts":[{"address":"127.0.0.1:1","id":"h1","state":"live"}]})");
}

// Guards against a weight store that gives more than its rate.
TEST_F(platform_fixture, WeightsKeepTheRateAndTheConcurrency) {
  weights_options options;
  options.bytes_per_second = 1e6;
  options.max_concurrent = 1;
  options.object_bytes = 200'000;
  Serve(std::make_unique<weights_service>(options));
  const host_clock time;
  const time_point started = time.Now();
  auto first = Begin("GET", "/v1/weights/m/1");
  ASSERT_TRUE(WaitForStat("started", 1));
  EXPECT_EQ(Call("GET", "/v1/weights/m/1").status, 429);
  const auto answer = first.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body.size(), 200'000U);
  EXPECT_GE(time.Now() - started, std::chrono::milliseconds(199));
}

class relay_fixture : public standin_fixture {
 protected:
  void SetUp() override {
    Serve(std::make_unique<plain_service>(plain_service_options{}));
    auto created =
        relay::Create(forwarding_.At(0), host_address::Make("127.0.0.1", 0),
                      host_->address());
    ASSERT_TRUE(created);
    relay_ = std::move(*created);
  }
  void TearDown() override {
    forwarding_.Stop();
    relay_.reset();
  }

  std::future<result<http_response>> ThroughRelay() {
    return boost::asio::co_spawn(
        threads_.At(0),
        client_->Fetch(relay_->address(), http_request(), call_options()),
        boost::asio::use_future);
  }

  void Cut(relay_cut cut) {
    std::promise<void> done;
    boost::asio::post(forwarding_.At(0), [&] {
      relay_->SetCut(cut);
      done.set_value();
    });
    done.get_future().get();
  }

  thread_pool forwarding_{1};
  std::unique_ptr<relay> relay_;
};

// Guards against a one-way cut that also stops the other way.
TEST_F(relay_fixture, CutTowardsTheClientStillRunsTheCall) {
  ASSERT_TRUE(ThroughRelay().get());
  Cut(relay_cut::to_client);
  auto frozen = ThroughRelay();
  EXPECT_TRUE(WaitForStat("calls", 2));
  EXPECT_EQ(frozen.wait_for(std::chrono::milliseconds(50)),
            std::future_status::timeout);
  Cut(relay_cut::none);
  EXPECT_TRUE(frozen.get());
}

// Guards against a cut that forwards, and against refusal that accepts.
TEST_F(relay_fixture, CutTowardsTheTargetAndRefusal) {
  Cut(relay_cut::to_target);
  auto frozen = ThroughRelay();
  EXPECT_EQ(frozen.wait_for(std::chrono::milliseconds(50)),
            std::future_status::timeout);
  EXPECT_EQ(Stat("calls"), 0);
  Cut(relay_cut::refuse);
  EXPECT_FALSE(frozen.get());
  const auto refused = ThroughRelay().get();
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().ran(), outcome::not_run);
  Cut(relay_cut::none);
  EXPECT_TRUE(ThroughRelay().get());
}

}  // namespace
}  // namespace cardamomyard::standins
