#include "src/node/sidecar/engine_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <future>

#include "engine/engine_service.h"
#include "store_fixture.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

/// Counts the orders in progress over several holders.
struct load_counter {
  std::atomic<int> running{0};
  std::atomic<int> most{0};
};

/// Forwards calls; it can block its thread before an order is written, as a
/// pause of the process would.
class watched_client final : public http_client {
 public:
  explicit watched_client(load_counter& loads) : loads_(&loads) {}

  boost::asio::awaitable<result<std::unique_ptr<http_call>>> Open(
      host_address server,
      http_request request,
      call_options options) override {
    return real_->Open(std::move(server), std::move(request), options);
  }

  boost::asio::awaitable<result<http_response>> Fetch(
      host_address server,
      http_request request,
      call_options options,
      std::size_t limit) override {
    if (resume_.valid()) {
      paused_.set_value();
      resume_.wait();
    }
    const int running = ++loads_->running;
    int most = loads_->most;
    while (running > most &&
           !loads_->most.compare_exchange_weak(most, running)) {
    }
    auto answer = co_await real_->Fetch(std::move(server), std::move(request),
                                        options, limit);
    --loads_->running;
    co_return answer;
  }

  /// \returns when the next order has been stopped; it goes on with \p resume.
  std::future<void> PauseBeforeOrder(std::future<void> resume) {
    resume_ = std::move(resume);
    return paused_.get_future();
  }

 private:
  std::unique_ptr<http_client> real_ = std::move(*http_client::Create());
  load_counter* loads_;
  std::future<void> resume_;
  std::promise<void> paused_;
};

/// One sidecar's orders, on a thread of their own.
class order_holder {
 public:
  order_holder(const host_address& store,
               const host_address& engine,
               std::string backend_id,
               load_counter& loads,
               engine_order_options options)
      : http_(std::move(*http_client::Create())),
        client_(loads),
        store_(
            store_client::Create({.address = store}, *http_, time_, metrics_)),
        orders_(Parts(engine, std::move(backend_id)), options) {}

  watched_client& client() { return client_; }
  std::future<bool> Step() {
    return boost::asio::co_spawn(threads_.At(0), orders_.Step(),
                                 boost::asio::use_future);
  }
  /// Tries until \p done orders were taken, at most 10 s.
  bool StepUntil(std::int64_t done) {
    const time_point end = time_.Now() + std::chrono::seconds(10);
    while (time_.Now() < end && Count("done") < done) {
      Step().get();
    }
    return Count("done") == done;
  }
  std::int64_t Count(const std::string& outcome) {
    return metrics_
        .Counter("cardamomyard_engine_orders_total", {{"result", outcome}})
        .value();
  }
  void Want(std::vector<required_load> wanted) { wanted_ = std::move(wanted); }
  void Restart() { ++run_; }

 private:
  engine_order_parts Parts(const host_address& engine, std::string backend_id) {
    engine_order_parts parts;
    parts.store = store_.get();
    parts.http = &client_;
    parts.time = &time_;
    parts.metrics = &metrics_;
    parts.engine = engine;
    parts.backend_id = std::move(backend_id);
    parts.required_loads = [this] { return wanted_; };
    parts.engine_run_number = [this] { return run_; };
    return parts;
  }

  host_clock time_;
  metrics_registry metrics_;
  thread_pool threads_{1};
  std::unique_ptr<http_client> http_;
  watched_client client_;
  std::unique_ptr<store_client> store_;
  std::vector<required_load> wanted_{{"load_model", "m", "1"}};
  std::uint64_t run_ = 1;
  engine_orders orders_;
};

class engine_orders_fixture : public store_fixture {
 protected:
  std::unique_ptr<standins::service_host> Engine(bool check_fencing,
                                                 milliseconds delay) {
    standins::engine_options options;
    options.check_fencing = check_fencing;
    options.order_delay = delay;
    return std::move(*standins::service_host::Create(
        std::make_unique<standins::engine_service>(options)));
  }

  std::unique_ptr<order_holder> Holder(const standins::service_host& engine,
                                       std::string backend_id) {
    return std::make_unique<order_holder>(host_->address(), engine.address(),
                                          std::move(backend_id), loads_,
                                          options_);
  }

  /// \returns "<name> <version> <fence>" of the orders that the engine took.
  std::vector<std::string> Taken(const standins::service_host& engine) {
    http_request request;
    request.target = "/control/stats";
    const auto answer = Await(
        http_->Fetch(engine.address(), std::move(request), call_options()));
    std::vector<std::string> taken;
    const boost::json::value stats = boost::json::parse(answer->body);
    for (const auto& entry : stats.at("orders").as_array()) {
      if (entry.at("accepted").as_bool()) {
        taken.push_back(std::string(entry.at("name").as_string()) + " " +
                        std::string(entry.at("version").as_string()) + " " +
                        std::to_string(entry.at("fence").to_number<int>()));
      }
    }
    return taken;
  }

  load_counter loads_;
  engine_order_options options_{.lease_duration = milliseconds(600),
                                .lease_margin = milliseconds(50),
                                .order_timeout = milliseconds(300),
                                .max_concurrent_loads = 2};
};

// Failure: orders of two holders reach an engine that accepts any fencing
// token, because the old holder is paused after it checked its lease.
TEST_F(engine_orders_fixture, PausedHolderSendsNothingAfterATakeover) {
  const auto engine = Engine(false, milliseconds(0));
  const auto old_holder = Holder(*engine, "b");
  const auto new_holder = Holder(*engine, "b");
  std::promise<void> resume;
  std::future<void> paused =
      old_holder->client().PauseBeforeOrder(resume.get_future());
  std::future<bool> stopped = old_holder->Step();
  paused.wait();
  new_holder->Want({{"load_model", "m", "2"}});
  const bool taken_over = new_holder->StepUntil(1);
  resume.set_value();
  EXPECT_FALSE(stopped.get());
  EXPECT_TRUE(taken_over);
  EXPECT_EQ(old_holder->Count("not_sent"), 1);
  EXPECT_EQ(Taken(*engine), (std::vector<std::string>{"m 2 2"}));
}

// Failure: concurrent loads of many sidecars exceed the weight store's rate.
TEST_F(engine_orders_fixture, FewLoadsRunAtOnce) {
  std::vector<std::unique_ptr<standins::service_host>> engines;
  std::vector<std::unique_ptr<order_holder>> holders;
  for (int i = 0; i < 4; ++i) {
    engines.push_back(Engine(true, milliseconds(100)));
    holders.push_back(Holder(*engines.back(), "b" + std::to_string(i)));
  }
  std::vector<std::future<bool>> ended;
  ended.reserve(holders.size());
  for (const auto& holder : holders) {
    ended.push_back(std::async(std::launch::async,
                               [&holder] { return holder->StepUntil(1); }));
  }
  for (std::future<bool>& done : ended) {
    EXPECT_TRUE(done.get());
  }
  EXPECT_EQ(loads_.most, 2);
}

// Failures: an engine is left without its model after a restart, or without the
// adapters of a new version; orders are repeated.
TEST_F(engine_orders_fixture, EngineReachesTheWantedState) {
  const auto engine = Engine(true, milliseconds(0));
  const auto holder = Holder(*engine, "b");
  model_config model{"m", 1, {"1"}, {"a"}, true};
  holder->Want(RequiredLoads(model));
  ASSERT_TRUE(holder->StepUntil(2));
  EXPECT_TRUE(holder->Step().get());
  model.versions.emplace_back("2");
  holder->Want(RequiredLoads(model));
  ASSERT_TRUE(holder->StepUntil(4));
  holder->Restart();
  ASSERT_TRUE(holder->StepUntil(6));
  EXPECT_EQ(Taken(*engine),
            (std::vector<std::string>{"m 1 1", "a 1 1", "m 2 1", "a 2 1",
                                      "m 2 1", "a 2 1"}));
}

}  // namespace
}  // namespace cardamomyard
