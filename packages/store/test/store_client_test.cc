#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

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

/// \returns what ListAll("k/") returns from a store whose page after the key in
/// a request target has the body that \p page returns.
result<std::vector<object_listing::entry>> ListAllFrom(
    const std::function<std::string(std::string_view target)>& page) {
  raw_server server([&](raw_peer& peer) {
    for (std::string head = peer.ReadRequest(); !head.empty();
         head = peer.ReadRequest()) {
      const std::string body = page(head.substr(0, head.find("\r\n")));
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  });
  thread_pool threads(1);
  const std::unique_ptr<http_client> http = std::move(*http_client::Create());
  const host_clock clock;
  metrics_registry metrics;
  const auto store = store_client::Create(
      {.address = server.address(), .max_tries = 1}, *http, clock, metrics);
  auto listed = boost::asio::co_spawn(threads.At(0), store->ListAll("k/"),
                                      boost::asio::use_future)
                    .get();
  threads.Stop();
  return listed;
}

// One entry that cannot be read ended the listing of all others.
TEST(store_client, AnEntryThatCannotBeReadHidesNoOther) {
  const auto listed = ListAllFrom([](std::string_view /*target*/) {
    return std::string(
        R"({"objects":[{"key":"k/a","version":1},7,{},)"
        R"({"key":7,"version":1},{"key":"k/b"},)"
        R"({"key":"k/c","version":"x"},{"key":"k/d","version":-1},)"
        R"({"key":"o","version":1},{"key":"k/z","version":2}],)"
        R"("more":false})");
  });
  ASSERT_TRUE(listed) << listed.error().message();
  ASSERT_EQ(listed->size(), 2U);
  EXPECT_EQ(listed->back().key, "k/z");
}

// A listing that did not go on, or came back to an earlier page, was kept again
// and again until the memory was used up.
TEST(store_client, ListingsThatDoNotGoOnEnd) {
  constexpr int kMaxCalls = 4;
  for (const std::string form : {"stuck", "circular", "empty"}) {
    int calls = 0;
    const auto listed = ListAllFrom([&](std::string_view target) {
      const bool is_last = ++calls > kMaxCalls;
      EXPECT_FALSE(is_last) << target;
      std::string key = "k/a";
      if (form == "circular" &&
          target.find("k%2Fa") != std::string_view::npos) {
        key = "k/b";
      }
      const std::string object = R"({"key":")" + key + R"(","version":1})";
      return R"({"objects":[)" + (form == "empty" ? "" : object) +
             R"(],"more":)" + (is_last ? "false}" : "true}");
    });
    ASSERT_FALSE(listed) << form;
    EXPECT_EQ(listed.error().kind(), error_kind::store_unavailable);
  }
}

}  // namespace
}  // namespace cardamomyard
