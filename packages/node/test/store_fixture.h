#ifndef CARDAMOMYARD_NODE_TEST_STORE_FIXTURE_H_
#define CARDAMOMYARD_NODE_TEST_STORE_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <memory>
#include <string>
#include <utility>

#include "cardamomyard/store.h"
#include "store/store_service.h"

namespace cardamomyard {

/// \brief Serves the object API stand-in and gives a client for it.
class store_fixture : public ::testing::Test {
 protected:
  void SetUp() override {
    auto host = standins::service_host::Create(
        std::make_unique<standins::store_service>(
            standins::store_options{100'000, 100'000}));
    ASSERT_TRUE(host) << host.error().message();
    host_ = std::move(*host);
    http_ = std::move(*http_client::Create());
    store_ = store_client::Create({.address = host_->address(),
                                   .timeout = std::chrono::milliseconds(300)},
                                  *http_, time_, metrics_);
  }

  template <class T>
  T Await(boost::asio::awaitable<T> work) {
    return Begin(std::move(work)).get();
  }
  template <class T>
  std::future<T> Begin(boost::asio::awaitable<T> work) {
    return boost::asio::co_spawn(threads_.At(0), std::move(work),
                                 boost::asio::use_future);
  }
  /// Sets the faults of the stand-in.
  void Control(std::string body) {
    http_request request{"POST", "/control", {}, std::move(body)};
    const auto answer = Await(
        http_->Fetch(host_->address(), std::move(request), call_options()));
    ASSERT_TRUE(answer && answer->status == 200);
  }

  std::unique_ptr<standins::service_host> host_;
  host_clock time_;
  metrics_registry metrics_;
  thread_pool threads_{1};
  std::unique_ptr<http_client> http_;  // destroyed before the threads
  std::unique_ptr<store_client> store_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_TEST_STORE_FIXTURE_H_
