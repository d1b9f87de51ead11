#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <memory>
#include <string>

#include "cardamomyard/net.h"
#include "cardamomyard/store.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

using standins::raw_peer;
using standins::raw_server;

// What the client and the sockets on loopback may hold.
constexpr std::size_t kMaxAcceptedBytes = 16U << 20U;

// Values of a store that sends bytes without end were kept up to a limit that
// several calls at once could not afford.
TEST(store_client, AnswersWithoutEndAreRefused) {
  for (const std::string begin :
       {"HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: "}) {
    std::promise<std::size_t> sent;
    raw_server server([&](raw_peer& peer) {
      if (!peer.ReadRequest().empty()) {
        peer.Send(begin);
        sent.set_value(peer.SendWithoutEnd(std::string(10'000, 'x')));
      }
    });
    thread_pool threads(1);
    const std::unique_ptr<http_client> http = std::move(*http_client::Create());
    const host_clock clock;
    metrics_registry metrics;
    const auto store = store_client::Create(
        {.address = server.address(), .max_tries = 1}, *http, clock, metrics);
    const auto read = boost::asio::co_spawn(threads.At(0), store->Get("key"),
                                            boost::asio::use_future)
                          .get();
    ASSERT_FALSE(read) << begin;
    EXPECT_EQ(read.error().kind(), error_kind::store_unavailable);
    EXPECT_LT(sent.get_future().get(), kMaxAcceptedBytes) << begin;
    threads.Stop();
  }
}

}  // namespace
}  // namespace cardamomyard
