// Answers that end early, at each of their bytes.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "cardamomyard/net.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

namespace asio = boost::asio;
using standins::raw_peer;
using standins::raw_server;

constexpr const char* kBody = "one\n\ntwo";

enum class connection_end { close, half_close, reset };

struct cut_answer {
  const char* name;
  std::string interim;
  std::string head;
  std::string body;
  bool ends_with_connection = false;
  bool on_kept_connection = false;
};

std::string Head(const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nSignature: s\r\n" + framing +
         "Content-Type: text/plain\r\n\r\n";
}

class cut_answer_test : public ::testing::TestWithParam<cut_answer> {
 protected:
  ~cut_answer_test() override { client_.reset(); }

  result<http_response> Fetch(const call_options& options) {
    return asio::co_spawn(threads_.At(0),
                          client_->Fetch(server_->address(), {}, options, 1000),
                          asio::use_future)
        .get();
  }

  /// \returns what the client makes of \p bytes and the end of the connection.
  result<http_response> FetchCut(const std::string& bytes, connection_end end) {
    const bool kept = GetParam().on_kept_connection;
    server_ = std::make_unique<raw_server>([=](raw_peer& peer) {
      peer.ReadRequest();
      if (kept) {
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        peer.ReadRequest();
      }
      peer.Send(bytes);
      if (end == connection_end::reset) {
        peer.Reset();
      } else if (end == connection_end::half_close) {
        peer.ShutSending();
        peer.WaitForClose();
      }
    });
    call_options options;
    options.reuse_connection = kept;
    options.resend_on_stale = false;
    if (kept) {
      EXPECT_TRUE(Fetch(options));
    }
    auto answer = Fetch(options);
    EXPECT_EQ(server_->connections(), 1);
    return answer;
  }

  thread_pool threads_{1};
  std::unique_ptr<raw_server> server_;
  std::unique_ptr<http_client> client_ = std::move(*http_client::Create());
};

TEST_P(cut_answer_test, Rule08_AnswerThatEndsEarlyIsNoSuccess) {
  const cut_answer& sent = GetParam();
  const std::string head = sent.interim + sent.head;
  const std::string whole = head + sent.body;
  for (const connection_end end :
       {connection_end::close, connection_end::half_close,
        connection_end::reset}) {
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      const auto answer = FetchCut(whole.substr(0, cut), end);
      const bool is_reset = end == connection_end::reset;
      const std::string where =
          "cut at " + std::to_string(cut) + (is_reset ? ", reset" : "");
      if (cut == whole.size() && !is_reset) {
        ASSERT_TRUE(answer) << where << answer.error().message();
        EXPECT_EQ(answer->body, kBody);
        EXPECT_EQ(answer->headers.Get("Signature"), "s");
      } else if (sent.ends_with_connection && cut >= head.size() && !is_reset) {
        // Nothing tells this from a whole answer.
        ASSERT_TRUE(answer) << where << answer.error().message();
        EXPECT_EQ(answer->body, sent.body.substr(0, cut - head.size()));
      } else if (answer) {
        // The whole answer may be read before the reset arrives.
        EXPECT_TRUE(is_reset && cut == whole.size() &&
                    !sent.ends_with_connection)
            << where << ", taken as " << answer->status << " with "
            << answer->body.size() << " bytes";
        EXPECT_EQ(answer->body, kBody) << where;
      } else {
        EXPECT_EQ(answer.error().ran(), outcome::may_have_run)
            << where << ": " << answer.error().message();
      }
    }
  }
}

const std::string with_length = Head("Content-Length: 8\r\n");
const std::string chunked = Head("Transfer-Encoding: chunked\r\n");
const std::string chunks = "3\r\none\r\n5\r\n\n\ntwo\r\n0\r\n\r\n";
const std::string plain = Head("Connection: close\r\n");
const std::string interim_answers =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    "HTTP/1.1 100 Continue\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers,
    cut_answer_test,
    ::testing::Values(
        cut_answer{"Length", "", with_length, kBody},
        cut_answer{"Chunks", "", chunked, chunks},
        cut_answer{"Plain", "", plain, kBody, true},
        cut_answer{"LengthAfterInterim", interim_answers, with_length, kBody},
        cut_answer{"ChunksAfterInterim", interim_answers, chunked, chunks},
        cut_answer{"PlainAfterInterim", interim_answers, plain, kBody, true},
        cut_answer{"LengthOnKept", "", with_length, kBody, false, true},
        cut_answer{"ChunksOnKept", "", chunked, chunks, false, true},
        cut_answer{"PlainOnKept", "", plain, kBody, true, true}),
    [](const auto& sent) { return sent.param.name; });

}  // namespace
}  // namespace cardamomyard
