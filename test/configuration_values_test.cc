// Odd values of limits and times in a configuration.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "harness/kept_connection.h"
#include "platform_fixture.h"

namespace cardamomyard {
namespace {

namespace json = boost::json;
using harness::kept_call;
using harness::kept_connection;

// Nanoseconds of this many milliseconds exceed 64 bits.
constexpr std::int64_t kHuge = 10'000'000'000'000;
constexpr milliseconds kGap{30};
constexpr milliseconds kAnswerLimit{8000};

class configuration_values : public platform_fixture {
 protected:
  /// Puts \p limits and \p timeout_ms of all routes in force at a new gateway.
  host StartWith(const json::object& limits, std::int64_t timeout_ms = 5000) {
    json::array routes;
    for (json::object route : {MakeRoute("ask", "streaming", true),
                               MakeRoute("once", "non_idempotent", false)}) {
      route["timeout-ms"] = timeout_ms;
      routes.push_back(std::move(route));
    }
    host made = StartGateway("g1");
    Configure(2, {kKey}, routes, limits);
    EXPECT_TRUE(Eventually([&] {
      return Logged("g1", "A new configuration is in force.",
                    "\"version\":\"2\"");
    })) << Log("g1");
    return made;
  }

  static std::vector<std::string> Segments(const std::string& id) {
    return {"POST /ask/1 HTTP/1.1\r\nHost: shop.example\r\n",
            "Request-Id: " + id + "\r\nAuthorization: Token " + kKey +
                "\r\nContent-Length: 10\r\n\r\n",
            "hello", "hello"};
  }

  void ExpectAnswers(const host& gateway) {
    kept_connection connection(gateway.front);
    for (const std::string id : {"r1", "r2", "r3"}) {
      const kept_call call = connection.Call(Segments(id), kGap, kAnswerLimit);
      EXPECT_EQ(call.how, kept_call::ending::answered)
          << id << ": " << ToString(call.how) << ", " << call.failure;
      EXPECT_EQ(call.status, 200) << id << ": " << call.body;
    }
    EXPECT_TRUE(gateway.process->Running()) << Log("g1");
  }
};

TEST_F(configuration_values, HugeHeaderTimeoutClosesNoConnection) {
  ExpectAnswers(StartWith({{"header-timeout-ms", kHuge}}));
}

TEST_F(configuration_values, HugeIdleTimeoutClosesNoConnection) {
  ExpectAnswers(StartWith({{"idle-timeout-ms", kHuge}}));
}

TEST_F(configuration_values, HugeRouteTimeoutEndsNoRequest) {
  ExpectAnswers(StartWith({}, kHuge));
}

TEST_F(configuration_values, HeaderTimeoutOfZeroClosesNoConnection) {
  ExpectAnswers(StartWith({{"header-timeout-ms", 0}}));
}

TEST_F(configuration_values, IdleTimeoutOfZeroClosesNoConnection) {
  ExpectAnswers(StartWith({{"idle-timeout-ms", 0}}));
}

TEST_F(configuration_values, NegativeTimeoutsCloseNoConnection) {
  ExpectAnswers(
      StartWith({{"header-timeout-ms", -1}, {"idle-timeout-ms", -1}}, -1));
}

TEST_F(configuration_values, HugeSizesRefuseNoRequest) {
  ExpectAnswers(StartWith(
      {{"max-header-bytes", std::int64_t{1} << 32}, {"max-body-bytes", -1}}));
}

}  // namespace
}  // namespace cardamomyard
