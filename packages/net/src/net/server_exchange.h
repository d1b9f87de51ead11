#ifndef CARDAMOMYARD_NET_SERVER_EXCHANGE_H_
#define CARDAMOMYARD_NET_SERVER_EXCHANGE_H_

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "src/net/head_reader.h"
#include "src/net/http_server.h"
#include "src/net/server_resources.h"
#include "src/net/server_state.h"
#include "src/net/sleep.h"

namespace cardamomyard::internal {
using tcp = asio::ip::tcp;

// Beast throws for a trailer of 64 KB, which thus never is in the buffer.
inline constexpr std::size_t kMaxBufferedBodyBytes = 60 * 1024;
// Bodies are read in pieces of these sizes. A piece is allocated while its
// client is waited for.
inline constexpr std::size_t kMinPieceBytes = 4 * 1024;
inline constexpr std::size_t kMaxPieceBytes = 16 * 1024;
// A body exists up to three times: while its buffer grows, and when it is
// copied into the request for a backend server or decoded.
inline constexpr std::size_t kBodyCopies = 3;
// A head is held by the parser, by the exchange and by its handler.
inline constexpr std::size_t kHeadCopies = 3;
// How long a body waits for memory, and how soon a refused client may retry.
inline constexpr std::chrono::milliseconds kMemoryWait{1000};
inline constexpr std::chrono::milliseconds kMemoryPoll{20};
inline constexpr std::chrono::milliseconds kMemoryRetryDelay{1000};

/// Copies the fields of a parsed head.
template <class Head>
http_request CopyHead(const Head& head) {
  http_request request;
  request.method = std::string(head.method_string());
  request.target = std::string(head.target());
  for (const auto& field : head) {
    request.headers.Add(std::string(field.name_string()),
                        std::string(field.value()));
  }
  return request;
}

template <class Stream>
class server_exchange final : public http_exchange {
 public:
  using parser_type = http::request_parser<http::buffer_body>;

  server_exchange(Stream& stream,
                  beast::flat_buffer& buffer,
                  parser_type& parser,
                  server_state& state,
                  connection_holding& holding,
                  std::string remote_ip)
      : stream_(stream),
        buffer_(buffer),
        parser_(parser),
        state_(state),
        holding_(holding),
        remote_ip_(std::move(remote_ip)) {
    // Takes as many of the chunks that have arrived as fit.
    parser_.eager(true);
    holding_.Enter(connection_stage::handling);
    request_ = CopyHead(parser_.get());
    keep_alive_ = parser_.get().keep_alive();
    std::size_t head_bytes = request_.target.size();
    for (const http_header& field : request_.headers.all()) {
      head_bytes += field.name.size() + field.value.size();
    }
    holding_.ForceTake(kHeadCopies * head_bytes);
  }

  const http_request& request() const override { return request_; }
  const std::string& remote_ip() const override { return remote_ip_; }
  bool answer_started() const override { return started_; }
  bool finished() const { return finished_; }
  bool peer_closed() const { return peer_closed_; }
  bool keep_alive() const {
    return finished_ && sent_keep_alive_ && parser_.is_done();
  }

  ~server_exchange() override { holding_.GiveBackAll(); }
  server_exchange(const server_exchange&) = delete;
  server_exchange& operator=(const server_exchange&) = delete;

  asio::awaitable<result<std::string>> ReadBody(std::size_t limit) override {
    const auto announced = parser_.content_length();
    if (announced && *announced > limit) {
      co_return TooLarge(limit);
    }
    std::string body;
    while (true) {
      result<std::string> piece = co_await ReadSome();
      if (!piece) {
        co_return piece;
      }
      if (piece->empty()) {
        co_return body;
      }
      if (body.size() + piece->size() > limit) {
        co_return TooLarge(limit);
      }
      if (result<void> held = co_await HoldMemory(kBodyCopies * piece->size());
          !held) {
        co_return Fail(held.error());
      }
      body += *piece;
    }
  }

  asio::awaitable<result<void>> HoldMemory(std::size_t bytes) override {
    const time_point give_up = std::chrono::steady_clock::now() + kMemoryWait;
    while (!holding_.Take(bytes)) {
      if (std::chrono::steady_clock::now() >= give_up) {
        state_.resources->CountRefusedBody();
        co_return Fail(error::Make(error_kind::overloaded,
                                   "the host has no memory for the request")
                           .WithRetryAfter(kMemoryRetryDelay));
      }
      state_.resources->CloseForMemory(holding_);
      co_await SleepFor(kMemoryPoll);
    }
    co_return result<void>();
  }

  void ReleaseMemory(std::size_t bytes) override { holding_.GiveBack(bytes); }

  asio::awaitable<result<std::string>> ReadSome() override {
    if (parser_.is_done()) {
      co_return std::string();
    }
    if (result<void> ready = co_await SendContinue(); !ready) {
      co_return Fail(ready.error());
    }
    // No more than the rest of a body of known length, which is mostly short.
    const auto rest = parser_.content_length_remaining();
    std::string piece(
        std::min<std::uint64_t>(rest ? *rest : piece_bytes_, piece_bytes_),
        '\0');
    std::size_t got = 0;
    buffer_.max_size(std::max(buffer_.size(), kMaxBufferedBodyBytes));
    lowest().expires_after(state_.read_timeout.load());
    holding_.BeginBodyRead();
    // A chunk header alone may be consumed without any byte of the body. It is
    // no progress.
    while (got == 0 && !parser_.is_done()) {
      parser_.get().body().data = piece.data();
      parser_.get().body().size = piece.size();
      auto [code, bytes] =
          co_await http::async_read_some(stream_, buffer_, parser_, kUseResult);
      if (code && code != http::error::need_buffer) {
        co_return Fail(error_kind::invalid_request,
                       "the request body ends early: " + code.message());
      }
      got = piece.size() - parser_.get().body().size;
    }
    // A client that sends fast is read in larger pieces; one that waits holds
    // only a small one.
    piece_bytes_ = got == piece.size()
                       ? std::min(2 * piece_bytes_, kMaxPieceBytes)
                       : kMinPieceBytes;
    piece.resize(got);
    holding_.EndBodyRead(got);
    co_return piece;
  }

  asio::awaitable<result<void>> Send(http_response answer) override {
    started_ = true;
    http::response<http::string_body> message(
        static_cast<http::status>(answer.status), 11);
    for (const http_header& field : answer.headers.all()) {
      message.insert(field.name, field.value);
    }
    message.body() = std::move(answer.body);
    if (!holding_.Take(message.body().size())) {
      // An answer that is ready is sent even when the memory is short.
      state_.resources->CloseForMemory(holding_);
      holding_.ForceTake(message.body().size());
    }
    sent_keep_alive_ = KeepAlive();
    message.keep_alive(sent_keep_alive_);
    message.prepare_payload();
    if (request_.method == "HEAD") {
      message.body().clear();
    }
    http::response_serializer<http::string_body> serializer(message);
    BeginWrite();
    while (!serializer.is_done()) {
      auto [code, bytes] =
          co_await http::async_write_some(stream_, serializer, kUseResult);
      if (code) {
        co_return WriteFailure(code);
      }
      // A client that reads a long answer slowly makes progress.
      holding_.Enter(connection_stage::answer);
    }
    holding_.Enter(connection_stage::handling);
    finished_ = true;
    co_return result<void>();
  }

  asio::awaitable<result<void>> StartStream(int status,
                                            header_list headers) override {
    started_ = true;
    http::response<http::empty_body> head(static_cast<http::status>(status),
                                          11);
    for (const http_header& field : headers.all()) {
      head.insert(field.name, field.value);
    }
    sent_keep_alive_ = KeepAlive();
    head.keep_alive(sent_keep_alive_);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    BeginWrite();
    auto [code, bytes] =
        co_await http::async_write_header(stream_, serializer, kUseResult);
    holding_.Enter(connection_stage::handling);
    if (code) {
      co_return WriteFailure(code);
    }
    co_return result<void>();
  }

  asio::awaitable<result<void>> Write(std::string chunk) override {
    if (chunk.empty()) {
      // An empty chunk would end the message.
      co_return result<void>();
    }
    BeginWrite();
    holding_.ForceTake(chunk.size());
    auto [code, bytes] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(chunk)), kUseResult);
    holding_.GiveBack(chunk.size());
    holding_.Enter(connection_stage::handling);
    if (code) {
      co_return WriteFailure(code);
    }
    co_return result<void>();
  }

  asio::awaitable<result<void>> Finish() override {
    BeginWrite();
    auto [code, bytes] = co_await asio::async_write(
        stream_, http::make_chunk_last(), kUseResult);
    holding_.Enter(connection_stage::handling);
    if (code) {
      co_return WriteFailure(code);
    }
    finished_ = true;
    co_return result<void>();
  }

  void Abort() override { lowest().close(); }

  bool PeerClosed() override {
    char byte = 0;
    const auto socket = lowest().socket().native_handle();
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void WatchPeer(std::function<void()> closed) override {
    auto& socket = lowest().socket();
    socket.async_wait(
        tcp::socket::wait_read,
        [this, watch = std::weak_ptr<char>(alive_), &socket,
         closed = std::move(closed)](const boost::system::error_code& code) {
          if (code || watch.expired()) {
            return;
          }
          char byte = 0;
          const auto got =
              ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          const bool open =
              got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
          if (!open) {
            peer_closed_ = true;
            closed();
          }
        });
  }

 private:
  void BeginWrite() {
    lowest().expires_after(state_.options.write_timeout);
    holding_.Enter(connection_stage::answer);
  }

  static tl::unexpected<error> TooLarge(std::size_t limit) {
    return Fail(error_kind::too_large,
                "the body exceeds " + std::to_string(limit) + " bytes");
  }

  plain_stream& lowest() { return beast::get_lowest_layer(stream_); }

  /// A connection cannot be kept when the body of its request was not read.
  bool KeepAlive() const {
    return keep_alive_ && state_.keeps_connections && parser_.is_done();
  }

  static tl::unexpected<error> WriteFailure(
      const boost::system::error_code& code) {
    return Fail(error_kind::cancelled,
                "the caller closed the connection: " + code.message());
  }

  asio::awaitable<result<void>> SendContinue() {
    if (continue_sent_ ||
        !beast::iequals(parser_.get()[http::field::expect], "100-continue")) {
      co_return result<void>();
    }
    continue_sent_ = true;
    http::response<http::empty_body> answer(http::status::continue_, 11);
    auto [code, bytes] =
        co_await http::async_write(stream_, answer, kUseResult);
    if (code) {
      co_return WriteFailure(code);
    }
    co_return result<void>();
  }

  Stream& stream_;
  beast::flat_buffer& buffer_;
  parser_type& parser_;
  server_state& state_;
  connection_holding& holding_;
  std::size_t piece_bytes_ = kMinPieceBytes;
  std::string remote_ip_;
  http_request request_;
  bool keep_alive_ = false;
  bool sent_keep_alive_ = false;
  bool started_ = false;
  bool finished_ = false;
  bool continue_sent_ = false;
  bool peer_closed_ = false;
  // Expires with the exchange, so that a late event does not reach it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_NET_SERVER_EXCHANGE_H_
