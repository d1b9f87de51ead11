// The client against servers that send wrong, late or endless bytes.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "cardamomyard/net.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
using standins::HeaderOf;
using standins::raw_peer;
using standins::raw_server;
using std::chrono::milliseconds;

constexpr milliseconds kLimit{300};
// Far below the default limits of a call, and above scheduling delays.
constexpr milliseconds kEndsWithin{5000};
// What the client and the sockets on loopback may hold.
constexpr std::size_t kMaxAcceptedBytes = 16U << 20U;

/// \returns what tells the answers to the request \p id by their header "Id".
std::function<answer_origin(const header_list&)> OriginFor(
    const std::string& id) {
  return [id](const header_list& headers) {
    const auto named = headers.Get("Id");
    return !named         ? answer_origin::unnamed
           : *named == id ? answer_origin::this_request
                          : answer_origin::other_request;
  };
}

class server_faults : public ::testing::Test {
 protected:
  ~server_faults() override { client_.reset(); }

  /// Answers each connection's first request as \p answer does.
  void Serve(std::function<void(raw_peer&)> answer) {
    server_ = std::make_unique<raw_server>(
        [answer = std::move(answer)](raw_peer& peer) {
          if (!peer.ReadRequest().empty()) {
            answer(peer);
          }
        });
  }

  /// Sends a first request and expects its answer to end before the defaults.
  result<http_response> Fetch(call_options options,
                              std::size_t limit = 1000,
                              http_request request = {}) {
    const auto began = std::chrono::steady_clock::now();
    auto answer =
        asio::co_spawn(threads_.At(0),
                       client_->Fetch(server_->address(), std::move(request),
                                      std::move(options), limit),
                       asio::use_future)
            .get();
    EXPECT_LT(std::chrono::steady_clock::now() - began, kEndsWithin);
    return answer;
  }

  /// Expects that the server can send only a bounded number of bytes, as the
  /// client closes the connection.
  void ExpectEndlessBytesAreRefused(const std::string& begin,
                                    const std::string& repeated,
                                    call_options options = {}) {
    std::promise<std::size_t> sent;
    Serve([&](raw_peer& peer) {
      peer.Send(begin);
      sent.set_value(peer.SendWithoutEnd(repeated));
    });
    const auto answer = Fetch(std::move(options));
    ASSERT_FALSE(answer) << begin;
    EXPECT_NE(answer.error().ran(), outcome::not_run);
    EXPECT_LT(sent.get_future().get(), kMaxAcceptedBytes) << begin;
  }

  thread_pool threads_{1};
  std::unique_ptr<raw_server> server_;
  std::unique_ptr<http_client> client_ = std::move(*http_client::Create());
};

TEST_F(server_faults, EndlessHeadIsRefused) {
  ExpectEndlessBytesAreRefused("HTTP/1.1 200 OK\r\nX: ", "vvvvvvvv");
  ExpectEndlessBytesAreRefused("HTTP/1.1 200 OK\r\n", "X: v\r\n");
  ExpectEndlessBytesAreRefused("", "no answer ");
}

TEST_F(server_faults, EndlessBodyIsRefused) {
  ExpectEndlessBytesAreRefused("HTTP/1.1 200 OK\r\n\r\n", "body");
  ExpectEndlessBytesAreRefused(
      "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "body");
  ExpectEndlessBytesAreRefused(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n");
}

TEST_F(server_faults, EndlessChunkHeadersAndTrailersAreRefused) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  ExpectEndlessBytesAreRefused(head + "4", ";extension");
  ExpectEndlessBytesAreRefused(head, "0000000000");
  ExpectEndlessBytesAreRefused(head + "4\r\nbody\r\n0\r\n", "X: v\r\n");
}

TEST_F(server_faults, HugeTrailersEndNoProcess) {
  for (const std::size_t bytes : {50U * 1024, 65'600U, 70U * 1024}) {
    Serve([&](raw_peer& peer) {
      peer.Send(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
          "chunked\r\n\r\n1\r\na\r\n0\r\nX: " +
          std::string(bytes, 'x') + "\r\n\r\n");
    });
    EXPECT_EQ(Fetch({}).has_value(), bytes < 60U * 1024) << bytes;
  }
}

TEST_F(server_faults, EndlessInterimAnswersAreRefused) {
  ExpectEndlessBytesAreRefused("", "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST_F(server_faults, EndlessStrayAnswersAreRefused) {
  const std::function<answer_origin(const header_list&)> none =
      [](const header_list&) { return answer_origin::other_request; };
  call_options options;
  options.origin_of = &none;
  ExpectEndlessBytesAreRefused("",
                               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                               "stray",
                               options);
  ExpectEndlessBytesAreRefused("HTTP/1.1 200 OK\r\n\r\n", "stray", options);
}

// Each byte renews a limit on silence, so a stalled server would never exceed
// it.
TEST_F(server_faults, BodySentByteByByteEndsAtItsLimit) {
  call_options options;
  options.body_timeout = kLimit;
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4;extension=")}) {
    Serve([&head](raw_peer& peer) {
      peer.Send(head);
      peer.SendWithoutEnd("x", milliseconds(20));
    });
    const auto answer = Fetch(options, 1U << 20U);
    ASSERT_FALSE(answer) << head;
    EXPECT_EQ(answer.error().kind(), error_kind::timeout) << head;
  }
}

// The bytes of a chunk header are no progress.
TEST_F(server_faults, ChunkHeaderSentByteByByteEndsAtTheIdleLimit) {
  Serve([](raw_peer& peer) {
    peer.Send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;extension=");
    peer.SendWithoutEnd("x", milliseconds(20));
  });
  call_options options;
  options.idle_timeout = kLimit;
  const auto answer = Fetch(options);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind(), error_kind::timeout);
}

TEST_F(server_faults, SlowButSoundBodyIsReadWhole) {
  constexpr int kPieces = 30;
  Serve([](raw_peer& peer) {
    peer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < kPieces; ++i) {
      std::this_thread::sleep_for(milliseconds(25));
      peer.Send("1\r\nx\r\n");
    }
    peer.Send("0\r\n\r\n");
  });
  // The whole body takes longer than the limit on silence.
  call_options options;
  options.idle_timeout = milliseconds(500);
  const auto answer = Fetch(options);
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->body, std::string(kPieces, 'x'));
}

TEST_F(server_faults, Rule08_InterimAnswerIsNotTheAnswer) {
  Serve([](raw_peer& peer) {
    peer.Send(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
  });
  const auto answer = Fetch({});
  ASSERT_TRUE(answer) << answer.error().message();
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "own");
}

// The limit on the wait for the head holds although a stray answer was read
// meanwhile under another limit.
TEST_F(server_faults, SilenceAfterAStrayAnswerEndsAtTheHeadLimit) {
  Serve([](raw_peer& peer) {
    peer.Send("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray");
    peer.WaitForClose();
  });
  const auto mine = OriginFor("mine");
  call_options options;
  options.origin_of = &mine;
  options.head_timeout = kLimit;
  const auto answer = Fetch(options);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind(), error_kind::timeout);
}

// A second copy of an answer arrives after the next request was sent on the
// same connection, and split over several reads.
TEST_F(server_faults, Rule08_LateSecondCopyIsNotTheNextAnswer) {
  const auto answer_to = [](const std::string& head) {
    const std::string id = HeaderOf(head, "Id");
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
  };
  server_ = std::make_unique<raw_server>([&](raw_peer& peer) {
    std::string last;
    for (std::string head = peer.ReadRequest(); !head.empty();
         head = peer.ReadRequest()) {
      for (const char byte : last) {
        peer.Send(std::string(1, byte));
      }
      last = answer_to(head);
      peer.Send(last);
    }
  });
  for (int i = 0; i < 4; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const auto mine = OriginFor(id);
    call_options options;
    options.reuse_connection = true;
    options.origin_of = &mine;
    http_request request;
    request.headers.Add("Id", id);
    const auto answer = Fetch(options, 1000, request);
    ASSERT_TRUE(answer) << answer.error().message();
    EXPECT_EQ(answer->body, id);
  }
  // A connection with a second copy on it is not used again.
  EXPECT_EQ(server_->connections(), 2);
}

// A faulty server wrote an earlier refusal once more on a kept connection; the
// request that it was running then was taken for refused.
TEST_F(server_faults, Rule09_RefusalThatIsSentTwiceIsNotTheNextAnswer) {
  for (const bool named : {true, false}) {
    for (const bool same_request : {true, false}) {
      std::atomic<bool> refused{false};
      server_ = std::make_unique<raw_server>([&](raw_peer& peer) {
        std::string refusal;
        for (std::string head = peer.ReadRequest(); !head.empty();
             head = peer.ReadRequest()) {
          const std::string id = "Id: " + HeaderOf(head, "Id") + "\r\n";
          if (!refused.exchange(true)) {
            refusal = "HTTP/1.1 503 Full\r\n" + (named ? id : "") +
                      "Content-Length: 0\r\n\r\n";
            peer.Send(refusal);
            continue;
          }
          peer.Send(refusal);
          peer.Send("HTTP/1.1 200 OK\r\n" + id +
                    "Content-Length: 3\r\n\r\nown");
        }
      });
      for (const bool first : {true, false}) {
        const std::string id = first || same_request ? "a" : "b";
        const auto origin = OriginFor(id);
        call_options options;
        options.reuse_connection = true;
        options.origin_of = &origin;
        options.request_name = id;
        http_request request;
        request.headers.Add("Id", id);
        const auto answer = Fetch(options, 1000, request);
        ASSERT_TRUE(answer) << answer.error().message();
        EXPECT_EQ(answer->status, first ? 503 : 200)
            << "named " << named << ", same request " << same_request;
      }
      // A connection with a named refusal serves other requests.
      EXPECT_EQ(server_->connections(), named && !same_request ? 1 : 2);
    }
  }
}

// Callers got answers above 599 as they were, and waited to their limit for
// what follows those below 100, which were taken for interim ones.
TEST_F(server_faults, Rule08_StatusThatHttpDoesNotKnowIsNoAnswer) {
  for (const std::string status :
       {"000", "001", "099", "600", "999", "0", "20", "2000", "2x0", "-20"}) {
    for (const std::string rest :
         {"Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "\r\nbody"}) {
      Serve([&](raw_peer& peer) {
        peer.Send("HTTP/1.1 " + status + " Status\r\n");
        peer.Send(rest);
        peer.WaitForClose();
      });
      call_options options;
      options.head_timeout = kLimit;
      const auto answer = Fetch(options);
      ASSERT_FALSE(answer) << status << " " << rest;
      EXPECT_EQ(answer.error().kind(), error_kind::backend_failed) << status;
      EXPECT_EQ(answer.error().ran(), outcome::may_have_run) << status;
    }
  }
}

// The request may have run on the kept connection, so a second attempt that
// cannot connect must not claim that it has not.
TEST_F(server_faults, Rule09_FailedSecondAttemptKeepsTheOutcomeOfTheFirst) {
  server_ = std::make_unique<raw_server>([this](raw_peer& peer) {
    peer.ReadRequest();
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    peer.ReadRequest();
    server_->StopListening();
    peer.Reset();
  });
  call_options options;
  options.reuse_connection = true;
  options.resend_on_stale = true;
  ASSERT_TRUE(Fetch(options));
  const auto answer = Fetch(options);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().ran(), outcome::may_have_run);
}

}  // namespace
}  // namespace cardamomyard
