#ifndef CARDAMOMYARD_STANDINS_TEST_STANDIN_FIXTURE_H_
#define CARDAMOMYARD_STANDINS_TEST_STANDIN_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "common/json_fields.h"
#include "common/service_host.h"

namespace cardamomyard::standins {

/// \brief Serves one stand-in and calls it from a thread of its own.
class standin_fixture : public ::testing::Test {
 protected:
  void Serve(std::unique_ptr<service> served) {
    auto host = service_host::Create(std::move(served));
    ASSERT_TRUE(host) << host.error().message();
    host_ = std::move(*host);
  }

  std::future<result<http_response>> Begin(std::string method,
                                           std::string target,
                                           std::string body = "",
                                           header_list headers = {}) {
    http_request request{std::move(method), std::move(target),
                         std::move(headers), std::move(body)};
    return boost::asio::co_spawn(
        threads_.At(0),
        client_->Fetch(host_->address(), std::move(request), call_options()),
        boost::asio::use_future);
  }

  /// \returns the answer; a failed call has status 0.
  http_response Call(std::string method,
                     std::string target,
                     std::string body = "",
                     header_list headers = {}) {
    auto answer = Begin(std::move(method), std::move(target), std::move(body),
                        std::move(headers))
                      .get();
    return answer ? *answer : http_response{0, {}, answer.error().message()};
  }

  double Stat(const std::string& name) {
    const auto stats = ParseObject(Call("GET", "/control/stats").body);
    return stats ? GetNumber(*stats, name, 0) : -1;
  }

  /// Polls until the counter reaches \p least, at most 10 s.
  bool WaitForStat(const std::string& name, double least) {
    const host_clock time;
    const time_point end = time.Now() + std::chrono::seconds(10);
    while (time.Now() < end) {
      if (Stat(name) >= least) {
        return true;
      }
    }
    return false;
  }

  std::unique_ptr<service_host> host_;
  thread_pool threads_{1};
  std::unique_ptr<http_client> client_ = std::move(*http_client::Create());
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_TEST_STANDIN_FIXTURE_H_
