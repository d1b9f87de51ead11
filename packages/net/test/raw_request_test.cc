#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
using namespace std::string_literals;

/// Sends bytes to a server that echoes bodies.
class raw_fixture : public ::testing::Test {
 protected:
  raw_fixture() {
    server_ = std::move(*http_server::Create(
        {}, threads_, [](http_exchange& exchange) -> asio::awaitable<void> {
          auto body = co_await exchange.ReadBody(1000);
          http_response answer = JsonResponse(200, "bad body");
          if (body) {
            answer = JsonResponse(200, "<" + *body + ">");
          }
          co_await exchange.Send(std::move(answer));
        }));
    server_->Start();
  }

  /// \returns all bytes that the server sent until it closed.
  std::string Exchange(const std::string& bytes) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(server_->address().ip()),
                    server_->address().port()});
    boost::system::error_code code;
    asio::write(socket, asio::buffer(bytes), code);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, code);
    std::string got;
    asio::read(socket, asio::dynamic_buffer(got), code);
    return got;
  }

  thread_pool threads_{1};
  std::unique_ptr<http_server> server_;
};

TEST_F(raw_fixture, HugeTrailersEndNoProcess) {
  for (const std::size_t bytes : {1000U, 65'600U, 70U * 1024, 2U << 20U}) {
    const std::string got = Exchange(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n0\r\nX: " +
        std::string(bytes, 'x') + "\r\n\r\n");
    EXPECT_EQ(got.ends_with("<a>"), bytes == 1000) << got;
  }
  EXPECT_TRUE(
      Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
          .ends_with("<b>"));
}

// Guards against request smuggling: a message whose end is ambiguous.
TEST_F(raw_fixture, AmbiguousLengthIsRefused) {
  for (const std::string& fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"s,
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"s,
        "Content-Length: 3\r\nContent-Length: 4\r\n"s, "X: a\0b\r\n"s,
        "X: a\rb\r\n"s, "X : a\r\n"s}) {
    const std::string got =
        Exchange("POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n0\r\n\r\n");
    EXPECT_TRUE(got.starts_with("HTTP/1.1 400")) << fields << got;
  }
}

// A request that no HTTP client may pass on.
TEST_F(raw_fixture, TraceWithABodyIsRefused) {
  for (const std::string& fields :
       {"Content-Length: 1\r\n\r\nb"s,
        "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"s}) {
    const std::string got =
        Exchange("TRACE / HTTP/1.1\r\nHost: h\r\n" + fields);
    EXPECT_TRUE(got.starts_with("HTTP/1.1 400")) << fields << got;
  }
  EXPECT_TRUE(Exchange("TRACE / HTTP/1.1\r\nHost: h\r\n\r\n")
                  .starts_with("HTTP/1.1 200"));
}

// Guards against heads that cost memory and time without bound.
TEST_F(raw_fixture, HeadsAreBounded) {
  std::string many;
  for (int i = 0; i < 101; ++i) {
    many += "X-" + std::to_string(i) + ": v\r\n";
  }
  for (const std::string& fields :
       {many, "X: " + std::string(17'000, 'v') + "\r\n"}) {
    const std::string got = Exchange("GET / HTTP/1.1\r\n" + fields + "\r\n");
    EXPECT_TRUE(got.starts_with("HTTP/1.1 413")) << got;
  }
}

// Guards against bytes of one request that become part of another.
TEST_F(raw_fixture, PipelinedRequestsAreAnsweredInOrder) {
  const std::string got = Exchange(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\ntwo\r\n0\r\nX-Trailer: t\r\n\r\n"
      "POST / HTTP/1.0\r\nContent-Length: 5\r\n\r\nthree");
  EXPECT_LT(got.find("<one>"), got.find("<two>")) << got;
  EXPECT_LT(got.find("<two>"), got.find("<three>")) << got;
  EXPECT_NE(got.find("<three>"), std::string::npos) << got;
}

// Guards against a caller that waits for leave to send its body, and against a
// body in the answer to HEAD.
TEST_F(raw_fixture, ContinueIsSentAndHeadHasNoBody) {
  const std::string got = Exchange(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"
      "HEAD / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(got.starts_with("HTTP/1.1 100")) << got;
  EXPECT_NE(got.find("<x>"), std::string::npos) << got;
  EXPECT_TRUE(got.ends_with("\r\n\r\n")) << got;
}

}  // namespace
}  // namespace cardamomyard
