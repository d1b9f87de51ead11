// How a server ends connections: what it promises before, and what it reports.
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <string_view>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::string_view kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr milliseconds kShortIdle{200};
constexpr milliseconds kLongIdle{60'000};

/// A server that answers without reading the body, but for /none, which gets
/// no answer.
class connection_end : public ::testing::Test {
 protected:
  std::unique_ptr<http_server> Serve(http_server_options options = {}) {
    options.idle_timeout = kShortIdle;
    auto server = std::move(*http_server::Create(
        std::move(options), threads_,
        [](http_exchange& exchange) -> asio::awaitable<void> {
          if (exchange.request().target != "/none") {
            co_await exchange.Send(JsonResponse(200, "{}"));
          }
        }));
    server->Start();
    return server;
  }

  tcp::socket Connect(const http_server& server) {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address(server.address().ip()),
                    server.address().port()});
    return socket;
  }

  /// Sends a request and reads its answer.
  static std::string Ask(tcp::socket& socket,
                         std::string_view request = kRequest) {
    asio::write(socket, asio::buffer(request));
    std::string answer;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(answer), "{}", ignored);
    return answer;
  }

  static std::string ReadToEnd(tcp::socket& socket) {
    std::string bytes;
    boost::system::error_code ignored;
    asio::read(socket, asio::dynamic_buffer(bytes), ignored);
    return bytes;
  }

  /// Returns after the idle timeout of every connection that is idle now.
  void WaitForIdleTimeout() {
    const auto other = Serve();
    tcp::socket socket = Connect(*other);
    Ask(socket);
    ReadToEnd(socket);
  }

  asio::io_context context_;
  thread_pool threads_{1};
};

TEST_F(connection_end, AnswerBeforeTheBodyWasReadSaysThatTheConnectionCloses) {
  const auto server = Serve();
  tcp::socket socket = Connect(*server);
  const std::string answer = Ask(
      socket, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
}

TEST_F(connection_end, HeadThatBeganBeforeTheIdleTimeoutIsAnswered) {
  const auto server = Serve();
  tcp::socket socket = Connect(*server);
  Ask(socket);
  asio::write(socket, asio::buffer(kRequest.substr(0, 10)));
  WaitForIdleTimeout();
  const std::string answer = Ask(socket, kRequest.substr(10));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

TEST_F(connection_end, ShorterHeaderTimeoutSparesAHeadThatIsArriving) {
  const auto server = Serve();
  tcp::socket socket = Connect(*server);
  Ask(socket);
  asio::write(socket, asio::buffer(kRequest.substr(0, 10)));
  tcp::socket other = Connect(*server);
  Ask(other);  // The server's only thread has read the half head by now.
  server->SetLimits(16 * 1024, milliseconds(1), kLongIdle);
  WaitForIdleTimeout();
  const std::string answer = Ask(socket, kRequest.substr(10));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

TEST_F(connection_end, LongerIdleTimeoutHoldsForConnectionsThatAreIdle) {
  const auto server = Serve();
  tcp::socket socket = Connect(*server);
  Ask(socket);
  server->SetLimits(16 * 1024, kLongIdle, kLongIdle);
  WaitForIdleTimeout();
  WaitForIdleTimeout();
  const std::string answer = Ask(socket);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

TEST_F(connection_end, IdleConnectionsCloseAfterTheIdleTimeout) {
  const auto server = Serve();
  tcp::socket socket = Connect(*server);
  Ask(socket);
  EXPECT_EQ(ReadToEnd(socket), "");
}

TEST_F(connection_end, IdleConnectionIsToldToCloseByItsNextAnswer) {
  const auto server = Serve();
  tcp::socket socket = Connect(*server);
  const std::string first = Ask(socket);
  EXPECT_EQ(first.find("Connection: close"), std::string::npos) << first;
  server->StopKeepAlive();
  const std::string second = Ask(socket);
  EXPECT_TRUE(second.starts_with("HTTP/1.1 200")) << second;
  EXPECT_NE(second.find("Connection: close"), std::string::npos) << second;
}

TEST_F(connection_end, BytesWithoutAnAnswerAreReported) {
  std::promise<unanswered_bytes> reported;
  http_server_options options;
  options.on_unanswered = [&](const unanswered_bytes& unanswered) {
    reported.set_value(unanswered);
  };
  const auto server = Serve(std::move(options));
  const auto next = [&] {
    unanswered_bytes unanswered = reported.get_future().get();
    reported = std::promise<unanswered_bytes>();
    return unanswered;
  };

  tcp::socket half = Connect(*server);
  asio::write(half, asio::buffer(kRequest.substr(0, 10)));
  half.close();
  const unanswered_bytes in_head = next();
  EXPECT_EQ(in_head.where, unanswered_bytes::stage::reading_head);
  EXPECT_EQ(in_head.bytes, 10U);
  EXPECT_FALSE(in_head.head);

  tcp::socket none = Connect(*server);
  asio::write(
      none,
      asio::buffer(std::string_view("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")));
  const unanswered_bytes handled = next();
  EXPECT_EQ(handled.where, unanswered_bytes::stage::handling);
  ASSERT_TRUE(handled.head);
  EXPECT_EQ(handled.head->target, "/none");

  tcp::socket late = Connect(*server);
  Ask(late);
  EXPECT_EQ(ReadToEnd(late), "");
  asio::write(late, asio::buffer(kRequest));
  late.shutdown(tcp::socket::shutdown_send);
  const unanswered_bytes after_close = next();
  EXPECT_EQ(after_close.where, unanswered_bytes::stage::after_own_close);
  ASSERT_TRUE(after_close.head);
  EXPECT_EQ(after_close.head->target, "/a");

  server->StopKeepAlive();
  tcp::socket pipelining = Connect(*server);
  asio::write(pipelining, asio::buffer(std::string(kRequest) +
                                       "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"));
  const unanswered_bytes behind_the_last = next();
  EXPECT_EQ(behind_the_last.where, unanswered_bytes::stage::after_own_close);
  ASSERT_TRUE(behind_the_last.head);
  EXPECT_EQ(behind_the_last.head->target, "/b");
}

}  // namespace
}  // namespace cardamomyard
