// A planned stop of a server: requests that are on their way are answered.
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kLimit{5000};
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

constexpr std::string_view kBlockingRequest =
    "GET /block HTTP/1.1\r\nHost: h\r\n\r\n";

bool Eventually(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::yield();
  }
  return true;
}

class draining_fixture : public ::testing::Test {
 protected:
  void Serve(http_handler handler) {
    server_ = std::move(*http_server::Create({}, threads_, std::move(handler)));
    server_->Start();
  }

  void ServeOk() {
    Serve([](http_exchange& exchange) -> asio::awaitable<void> {
      co_await exchange.Send(JsonResponse(200, "{}"));
    });
  }

  /// A request to /block holds the server's only thread.
  void ServeBlocking(std::promise<void>& blocked,
                     std::promise<void>& released) {
    Serve([&](http_exchange& exchange) -> asio::awaitable<void> {
      if (exchange.request().target == "/block") {
        blocked.set_value();
        released.get_future().wait();
      }
      co_await exchange.Send(JsonResponse(200, "{}"));
    });
  }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address(server_->address().ip()),
                    server_->address().port()});
    return socket;
  }

  /// Begins the stop and lets the server's thread see it.
  void BeginStop() {
    server_->StartDraining();
    server_->StopListening();
    LetServerRun();
  }

  /// Returns after the server's thread has polled its sockets.
  void LetServerRun() {
    // Sockets are polled between two handlers that do not wait in the queue
    // together.
    for (int i = 0; i < 5; ++i) {
      std::promise<void> ran;
      asio::post(threads_.At(0), [&ran] { ran.set_value(); });
      ran.get_future().wait();
    }
  }

  /// \returns all bytes that arrive until the server closes.
  static std::string ReadToEnd(tcp::socket& socket) {
    std::string bytes;
    boost::system::error_code ignored;
    asio::read(socket, asio::dynamic_buffer(bytes), ignored);
    return bytes;
  }

  asio::io_context context_;
  thread_pool threads_{1};
  std::unique_ptr<http_server> server_;
};

TEST_F(draining_fixture, Rule12_NewConnectionGetsItsFirstAnswer) {
  ServeOk();
  tcp::socket socket = Connect();
  ASSERT_TRUE(Eventually([&] { return server_->open_connections() == 1; }));
  BeginStop();
  asio::write(socket, asio::buffer(kRequest));
  const std::string answer = ReadToEnd(socket);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  socket.close();
  EXPECT_TRUE(Eventually([&] { return server_->drained(); }));
}

TEST_F(draining_fixture, Rule12_RequestWhoseHeadIsHalfReadIsAnswered) {
  ServeOk();
  tcp::socket socket = Connect();
  // The first answer makes the connection a kept one.
  asio::write(socket, asio::buffer(kRequest));
  std::string first;
  asio::read_until(socket, asio::dynamic_buffer(first), "{}");
  asio::write(socket, asio::buffer(kRequest.substr(0, 10)));
  // The server's only thread has read the half head once it serves another
  // request that was sent later.
  tcp::socket other = Connect();
  asio::write(other, asio::buffer(kRequest));
  std::string second;
  asio::read_until(other, asio::dynamic_buffer(second), "{}");
  BeginStop();
  asio::write(socket, asio::buffer(kRequest.substr(10)));
  EXPECT_TRUE(ReadToEnd(socket).starts_with("HTTP/1.1 200"));
}

// Half of the head has arrived, but the server has not read it yet.
TEST_F(draining_fixture, Rule12_RequestWhoseHeadHasHalfArrivedIsAnswered) {
  std::promise<void> blocked;
  std::promise<void> released;
  ServeBlocking(blocked, released);
  tcp::socket socket = Connect();
  asio::write(socket, asio::buffer(kRequest));
  std::string first;
  asio::read_until(socket, asio::dynamic_buffer(first), "{}");
  tcp::socket blocking = Connect();
  asio::write(blocking, asio::buffer(kBlockingRequest));
  blocked.get_future().wait();
  asio::write(socket, asio::buffer(kRequest.substr(0, 10)));
  server_->StartDraining();
  server_->StopListening();
  released.set_value();
  LetServerRun();
  asio::write(socket, asio::buffer(kRequest.substr(10)));
  EXPECT_TRUE(ReadToEnd(socket).starts_with("HTTP/1.1 200"));
}

TEST_F(draining_fixture, Rule12_EstablishedConnectionIsAcceptedAndAnswered) {
  std::promise<void> blocked;
  std::promise<void> released;
  ServeBlocking(blocked, released);
  tcp::socket blocking = Connect();
  asio::write(blocking, asio::buffer(kBlockingRequest));
  blocked.get_future().wait();
  // The server's only thread is held, so the connection is established by the
  // system alone.
  tcp::socket socket = Connect();
  asio::write(socket, asio::buffer(kRequest));
  server_->StartDraining();
  server_->StopListening();
  EXPECT_FALSE(server_->drained());
  released.set_value();
  EXPECT_TRUE(ReadToEnd(socket).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(ReadToEnd(blocking).starts_with("HTTP/1.1 200"));
}

// The head of the stream's answer has promised that the connection is kept.
TEST_F(draining_fixture, Rule12_RequestPipelinedBehindAStreamIsAnswered) {
  std::promise<void> started;
  auto finish = std::make_shared<std::promise<void>>();
  Serve([&](http_exchange& exchange) -> asio::awaitable<void> {
    if (exchange.request().target == "/stream") {
      co_await exchange.StartStream(200, {});
      started.set_value();
      finish->get_future().wait();
      co_await exchange.Finish();
      co_return;
    }
    co_await exchange.Send(JsonResponse(200, "second"));
  });
  tcp::socket socket = Connect();
  asio::write(socket, asio::buffer(
                          std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
                              .append(kRequest)));
  started.get_future().wait();
  server_->StartDraining();
  server_->StopListening();
  finish->set_value();
  const std::string answers = ReadToEnd(socket);
  EXPECT_NE(answers.find("second"), std::string::npos) << answers;
  EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
}

// Closing with unread bytes resets the connection, and the caller's system then
// discards the answer that it has not read yet.
TEST_F(draining_fixture, AnswerArrivesThoughTheBodyWasNotRead) {
  // More than the caller's system takes before the caller reads.
  const std::string answer(400 * 1024, 'a');
  std::promise<void> sent;
  Serve([&](http_exchange& exchange) -> asio::awaitable<void> {
    co_await exchange.Send(JsonResponse(413, answer));
    sent.set_value();
  });
  tcp::socket socket = Connect();
  socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
  const std::string body(64 * 1024, 'x');
  asio::write(socket,
              asio::buffer("POST / HTTP/1.1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body));
  sent.get_future().wait();
  LetServerRun();
  EXPECT_NE(ReadToEnd(socket).find(answer), std::string::npos);
}

TEST_F(draining_fixture, SilentConnectionsDoNotHoldUpTheStop) {
  ServeOk();
  tcp::socket silent = Connect();
  tcp::socket half = Connect();
  asio::write(half, asio::buffer(kRequest.substr(0, 10)));
  ASSERT_TRUE(Eventually([&] { return server_->open_connections() == 2; }));
  BeginStop();
  EXPECT_TRUE(Eventually([&] { return server_->drained(); }));
}

}  // namespace
}  // namespace cardamomyard
