#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;

class http_fixture : public ::testing::Test {
 protected:
  void Serve(http_handler handler) {
    auto server = http_server::Create({}, threads_, std::move(handler));
    ASSERT_TRUE(server) << server.error().message();
    server_ = std::move(*server);
    server_->Start();
    client_ = std::move(*http_client::Create());
  }

  template <class T>
  T Run(asio::awaitable<T> work) {
    return asio::co_spawn(threads_.Next(), std::move(work), asio::use_future)
        .get();
  }

  result<http_response> Fetch(http_request request, call_options options = {}) {
    return Run(client_->Fetch(server_->address(), std::move(request),
                              std::move(options)));
  }

  thread_pool threads_{2};
  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_client> client_;
};

TEST_F(http_fixture, EchoesBodyOverKeptConnections) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    auto body = co_await exchange.ReadBody(1 << 20);
    co_await exchange.Send(JsonResponse(200, *body));
  });
  for (int i = 0; i < 5; ++i) {
    http_request request;
    request.method = "POST";
    request.body = std::string(200'000, 'x') + std::to_string(i);
    call_options options;
    options.reuse_connection = true;
    auto answer = Fetch(request, options);
    ASSERT_TRUE(answer) << answer.error().message();
    EXPECT_EQ(answer->body, request.body);
  }
}

// Guards against a request that arrives while draining shuts its kept
// connection: it was taken for one whose caller had left, and was dropped
// after it had been passed on.
TEST_F(http_fixture, Rule12_RequestThatCrossesDrainingIsAnswered) {
  std::promise<void> blocked;
  std::promise<void> released;
  thread_pool one_thread{1};
  auto server = http_server::Create(
      {}, one_thread, [&](http_exchange& exchange) -> asio::awaitable<void> {
        if (exchange.request().target == "/block") {
          blocked.set_value();
          released.get_future().wait();
        }
        bool left = exchange.PeerClosed();
        exchange.WatchPeer([&left] { left = true; });
        co_await SleepFor(std::chrono::milliseconds(20));
        co_await exchange.Send(JsonResponse(left ? 500 : 200, "{}"));
      });
  ASSERT_TRUE(server);
  (*server)->Start();
  client_ = std::move(*http_client::Create());
  call_options kept;
  kept.reuse_connection = true;
  kept.resend_on_stale = false;
  const auto fetch = [&](std::string target, asio::io_context& context) {
    http_request request;
    request.target = std::move(target);
    return asio::co_spawn(
        context, client_->Fetch((*server)->address(), std::move(request), kept),
        asio::use_future);
  };
  asio::io_context caller;
  auto first = fetch("/first", caller);
  caller.run();
  ASSERT_TRUE(first.get());
  auto blocking = fetch("/block", threads_.At(1));
  blocked.get_future().wait();
  // The kept connection is idle for the server, whose only thread is held. When
  // the client has nothing more to do, its request lies in the server's socket.
  auto crossing = fetch("/crossing", caller);
  caller.restart();
  caller.poll();
  (*server)->StartDraining();
  released.set_value();
  EXPECT_TRUE(blocking.get());
  caller.run();

  const auto answer = crossing.get();
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->status, 200);
}

// Guards against a stray answer on a kept connection being taken for the
// answer of the next request.
TEST_F(http_fixture, Rule08_AnswerToAnotherRequestIsSkipped) {
  asio::ip::tcp::acceptor acceptor(threads_.At(0),
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const auto port = acceptor.local_endpoint().port();
  std::thread raw([&acceptor] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    const std::string answers =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray"
        "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nown";
    asio::write(socket, asio::buffer(answers));
    request.clear();
    boost::system::error_code ignored;
    asio::read(socket, asio::dynamic_buffer(request), ignored);
  });
  client_ = std::move(*http_client::Create());
  const std::function<answer_origin(const header_list&)> mine =
      [](const header_list& headers) {
        return headers.Get("Id") == "mine" ? answer_origin::this_request
                                           : answer_origin::other_request;
      };
  call_options options;
  options.origin_of = &mine;
  const auto answer =
      Run(client_->Fetch(host_address::Make("127.0.0.1", port), {}, options));
  client_.reset();
  raw.join();
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->body, "own");
}

// Guards against work that goes on after its caller has left.
TEST_F(http_fixture, CallerThatLeavesIsNoticedAndItsCallCancelled) {
  std::promise<void> begun;
  std::promise<bool> noticed;
  Serve([&](http_exchange& exchange) -> asio::awaitable<void> {
    begun.set_value();
    auto left = std::make_shared<bool>(false);
    exchange.WatchPeer([left] { *left = true; });
    for (int i = 0; i < 200 && !*left; ++i) {
      co_await SleepFor(std::chrono::milliseconds(10));
    }
    noticed.set_value(*left);
    exchange.Abort();
  });
  call_options options;
  options.canceller = std::make_shared<call_canceller>();
  asio::io_context& context = threads_.At(0);
  auto call =
      asio::co_spawn(context, client_->Fetch(server_->address(), {}, options),
                     asio::use_future);
  begun.get_future().wait();
  asio::post(context, [&options] { options.canceller->Cancel(); });
  EXPECT_FALSE(call.get());
  EXPECT_TRUE(noticed.get_future().get());
}

// Guards against a stream that was cut by the server looking finished.
TEST_F(http_fixture, Rule08_CutStreamIsAnError) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    co_await exchange.StartStream(200, {});
    co_await exchange.Write("half");
    exchange.Abort();
  });
  auto answer = Fetch({});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran(), outcome::may_have_run);
}

TEST_F(http_fixture, FinishedStreamIsReadWhole) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    co_await exchange.StartStream(200, {});
    co_await exchange.Write("one ");
    co_await exchange.Write("two");
    co_await exchange.Finish();
  });
  auto answer = Fetch({});
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->body, "one two");
}

// Guards against "not run" being claimed for a request that was sent.
TEST_F(http_fixture, Rule09_OnlyAFailedConnectIsNotRun) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    co_await exchange.ReadBody(1024);
    exchange.Abort();
  });
  auto sent = Fetch({});
  ASSERT_FALSE(sent);
  EXPECT_EQ(sent.error().ran(), outcome::may_have_run);

  auto refused = Run(
      client_->Fetch(host_address::Make("127.0.0.1", 1), http_request{}, {}));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().ran(), outcome::not_run);
}

// Guards against unbounded request bodies.
TEST_F(http_fixture, OversizedBodyIsRefused) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    auto body = co_await exchange.ReadBody(10);
    http_response answer = JsonResponse(200, "");
    if (!body) {
      answer = ErrorResponse(body.error(), "r");
    }
    co_await exchange.Send(std::move(answer));
  });
  http_request request;
  request.method = "POST";
  request.body = std::string(100, 'x');
  auto answer = Fetch(request);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 413);
}

// Guards against draining that cuts an idle caller without closing, or an
// active request at all.
TEST_F(http_fixture, Rule12_DrainingClosesOnlyBetweenRequests) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    co_await exchange.Send(JsonResponse(200, "{}"));
  });
  call_options options;
  options.reuse_connection = true;
  ASSERT_TRUE(Fetch({}, options));
  server_->StartDraining();
  auto answer = Fetch({}, options);
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->headers.Get("Connection"), "close");
}

// Guards against a call that uses its client after the client is gone.
TEST_F(http_fixture, ClientMayEndWhileACallIsSuspended) {
  std::promise<void> arrived;
  std::promise<void> release;
  Serve([&](http_exchange& exchange) -> asio::awaitable<void> {
    arrived.set_value();
    release.get_future().wait();
    co_await exchange.Send(JsonResponse(200, "{}"));
  });
  call_options options;
  options.reuse_connection = true;
  // The handler blocks a thread of the server's pool.
  thread_pool callers(1);
  auto answer = asio::co_spawn(callers.At(0),
                               client_->Fetch(server_->address(), {}, options),
                               asio::use_future);
  arrived.get_future().wait();
  client_.reset();
  release.set_value();
  const result<http_response> got = answer.get();
  ASSERT_TRUE(got) << got.error().message();
  EXPECT_EQ(got->body, "{}");
}

// Guards against a handler's exception that closes the connection without an
// answer, or that lets a cut stream look finished.
TEST_F(http_fixture, ThrowingHandlerAnswersInternal) {
  Serve([](http_exchange& exchange) -> asio::awaitable<void> {
    if (exchange.request().target == "/stream") {
      co_await exchange.StartStream(200, {});
      co_await exchange.Write("half");
    }
    throw std::runtime_error("fault");
  });
  const auto whole = Fetch({});
  ASSERT_TRUE(whole) << whole.error().message();
  EXPECT_EQ(whole->status, 500);
  EXPECT_NE(whole->body.find("\"internal\""), std::string::npos);
  http_request streamed;
  streamed.target = "/stream";
  const auto cut = Fetch(streamed);
  ASSERT_FALSE(cut);
  EXPECT_EQ(cut.error().ran(), outcome::may_have_run);
}

}  // namespace
}  // namespace cardamomyard
