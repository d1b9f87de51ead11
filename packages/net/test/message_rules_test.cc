#include "src/net/message_rules.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <memory>
#include <string>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
using namespace std::string_literals;

TEST(message_rules, Rule08_TextThatWouldEndTheHeadIsRefused) {
  for (const std::string& value :
       {"a\r\nB: c"s, "a\nb"s, "a\rb"s, "a\0b"s, "\x7f"s, "a\x01"s}) {
    const auto checked = CheckHeader("Model", value);
    ASSERT_FALSE(checked) << value;
    EXPECT_EQ(checked.error().kind(), error_kind::invalid_request);
    EXPECT_NE(checked.error().message().find("Model"), std::string::npos);
  }
  for (const std::string& name : {""s, "A B"s, "A:"s, "A\r\n"s, "\xc3\xa4"s}) {
    EXPECT_FALSE(CheckHeader(name, "a")) << name;
  }
  for (const std::string& target :
       {""s, "a"s, "/a b"s, "/a HTTP/1.1\r\n"s, "/\t"s, "/\x7f"s}) {
    EXPECT_FALSE(CheckTarget(target)) << target;
  }
  for (const std::string& method : {""s, "PO ST"s, "GET\r\n"s}) {
    EXPECT_FALSE(CheckMethod(method)) << method;
  }
}

TEST(message_rules, WhatTheGrammarAllowsPasses) {
  EXPECT_TRUE(CheckHeader("X-A_b.1", ""));
  EXPECT_TRUE(CheckHeader("Model", "a\tb, \"c\" \xc3\xa4"));
  EXPECT_TRUE(CheckTarget("/a/%20?q=\xc3\xa4#"));
  EXPECT_TRUE(CheckMethod("POST"));
  const std::string longest(kMaxHeaderFieldBytes, 'a');
  EXPECT_TRUE(CheckHeader("Model", longest));
  EXPECT_FALSE(CheckHeader("Model", longest + "a"));
  EXPECT_FALSE(CheckHeader(longest + "a", "m"));
}

/// A server that counts the requests that reach it.
class checked_client : public ::testing::Test {
 protected:
  checked_client() {
    http_server_options options;
    options.max_header_bytes = 256 * 1024;
    server_ = std::move(*http_server::Create(
        options, threads_,
        [this](http_exchange& exchange) -> asio::awaitable<void> {
          ++requests_;
          http_response answer;
          co_await exchange.Send(std::move(answer));
        }));
    server_->Start();
    client_ = std::move(*http_client::Create());
  }

  result<http_response> Fetch(const http_request& request) {
    return asio::co_spawn(threads_.At(0),
                          client_->Fetch(server_->address(), request, {}),
                          asio::use_future)
        .get();
  }

  std::atomic<int> requests_{0};
  thread_pool threads_{1};
  std::unique_ptr<http_client> client_;
  std::unique_ptr<http_server> server_;
};

TEST_F(checked_client, Rule08_SendsNoRequestInsideAnother) {
  http_request request;
  request.headers.Set("Model", "m\r\n\r\nGET /other HTTP/1.1\r\nHost: h");
  const auto answer = Fetch(request);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind(), error_kind::invalid_request);
  EXPECT_EQ(answer.error().ran(), outcome::not_run);
  EXPECT_EQ(requests_, 0);
}

// The HTTP library throws for such a request, which ended the process.
TEST_F(checked_client, TraceWithABodyEndsNoProcess) {
  http_request request;
  request.method = "TRACE";
  request.body = "hello";
  const auto answer = Fetch(request);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind(), error_kind::invalid_request);
  EXPECT_EQ(answer.error().ran(), outcome::not_run);
  EXPECT_EQ(requests_, 0);
}

TEST_F(checked_client, AnExceptionFailsTheCallAlone) {
  const std::function<bool()> throws = []() -> bool {
    throw std::length_error("of a library");
  };
  call_options options;
  options.may_send = &throws;
  const auto answer =
      asio::co_spawn(threads_.At(0),
                     client_->Open(server_->address(), {}, options),
                     asio::use_future)
          .get();
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind(), error_kind::internal);
  EXPECT_EQ(answer.error().ran(), outcome::may_have_run);
  EXPECT_TRUE(Fetch({}));
}

TEST_F(checked_client, HeadersThatAreTooLongEndNoProcess) {
  http_request request;
  request.headers.Set("Model", std::string(72 * 1024, 'm'));
  const auto answer = Fetch(request);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind(), error_kind::invalid_request);
  request.headers.Set("Model", std::string(kMaxHeaderFieldBytes, 'm'));
  EXPECT_TRUE(Fetch(request));
  EXPECT_EQ(requests_, 1);
}

}  // namespace
}  // namespace cardamomyard
