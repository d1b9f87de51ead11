#include "src/net/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "src/net/error_body.h"
#include "src/net/server_state.h"
#include "src/net/sleep.h"
#include "src/net/tls_context.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::size_t kHeadChunkBytes = 4096;
// Above any limit for heads, since that may be raised while connections are
// open. The buffer grows only when it is needed.
constexpr std::size_t kMaxBufferedBytes = 1024 * 1024;
// Beast throws for a trailer of 64 KB, which thus never is in the buffer.
constexpr std::size_t kMaxBufferedBodyBytes = 60 * 1024;
// Looking up a header takes time in proportion to their number.
constexpr std::ptrdiff_t kMaxHeaders = 100;
// While draining, a connection whose request is on its way gets this long.
constexpr std::chrono::milliseconds kDrainingHeadTimeout{1000};
// Closing a socket with unread bytes resets the connection, which may destroy
// an answer that the caller has not read yet. Bytes are therefore discarded for
// this time or until the caller closes.
constexpr std::chrono::milliseconds kLingerTime{500};
constexpr std::size_t kDiscardedBytesPerRead = 4096;
constexpr auto kUseResult = asio::as_tuple(asio::use_awaitable);

using internal::CancelIdleReads;
using internal::count_scope;
using internal::HasUnreadBytes;
using internal::idle_scope;
using internal::server_state;
using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

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
class exchange final : public http_exchange {
 public:
  using parser_type = http::request_parser<http::buffer_body>;

  exchange(Stream& stream,
           beast::flat_buffer& buffer,
           parser_type& parser,
           server_state& state,
           std::string remote_ip)
      : stream_(stream),
        buffer_(buffer),
        parser_(parser),
        state_(state),
        remote_ip_(std::move(remote_ip)) {
    request_ = CopyHead(parser_.get());
    keep_alive_ = parser_.get().keep_alive();
  }

  const http_request& request() const override { return request_; }
  const std::string& remote_ip() const override { return remote_ip_; }
  bool answer_started() const override { return started_; }
  bool finished() const { return finished_; }
  bool peer_closed() const { return peer_closed_; }
  bool keep_alive() const {
    return finished_ && sent_keep_alive_ && parser_.is_done();
  }

  asio::awaitable<result<std::string>> ReadBody(std::size_t limit) override {
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
        co_return Fail(error_kind::too_large,
                       "the body exceeds " + std::to_string(limit) + " bytes");
      }
      body += *piece;
    }
  }

  asio::awaitable<result<std::string>> ReadSome() override {
    if (parser_.is_done()) {
      co_return std::string();
    }
    if (result<void> ready = co_await SendContinue(); !ready) {
      co_return Fail(ready.error());
    }
    // No more than the rest of a body of known length, which is mostly short.
    const auto rest = parser_.content_length_remaining();
    std::string piece(std::min<std::uint64_t>(rest ? *rest : kReadChunkBytes,
                                              kReadChunkBytes),
                      '\0');
    parser_.get().body().data = piece.data();
    parser_.get().body().size = piece.size();
    buffer_.max_size(std::max(buffer_.size(), kMaxBufferedBodyBytes));
    lowest().expires_after(state_.read_timeout.load());
    auto [code, bytes] =
        co_await http::async_read(stream_, buffer_, parser_, kUseResult);
    if (code && code != http::error::need_buffer) {
      co_return Fail(error_kind::invalid_request,
                     "the request body ends early: " + code.message());
    }
    piece.resize(piece.size() - parser_.get().body().size);
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
    sent_keep_alive_ = KeepAlive();
    message.keep_alive(sent_keep_alive_);
    message.prepare_payload();
    if (request_.method == "HEAD") {
      message.body().clear();
    }
    lowest().expires_after(state_.options.write_timeout);
    auto [code, bytes] =
        co_await http::async_write(stream_, message, kUseResult);
    if (code) {
      co_return WriteFailure(code);
    }
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
    lowest().expires_after(state_.options.write_timeout);
    auto [code, bytes] =
        co_await http::async_write_header(stream_, serializer, kUseResult);
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
    lowest().expires_after(state_.options.write_timeout);
    auto [code, bytes] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(chunk)), kUseResult);
    if (code) {
      co_return WriteFailure(code);
    }
    co_return result<void>();
  }

  asio::awaitable<result<void>> Finish() override {
    lowest().expires_after(state_.options.write_timeout);
    auto [code, bytes] = co_await asio::async_write(
        stream_, http::make_chunk_last(), kUseResult);
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

/// \returns the head of the request at the start of \p bytes, if it is whole.
std::optional<http_request> FindHead(std::string_view bytes) {
  http::request_parser<http::empty_body> parser;
  boost::system::error_code code;
  parser.put(asio::buffer(bytes), code);
  if (!parser.is_header_done()) {
    return std::nullopt;
  }
  return CopyHead(parser.get());
}

void ReportUnanswered(const server_state& state,
                      unanswered_bytes::stage where,
                      std::size_t bytes,
                      std::optional<http_request> head,
                      std::string reason) {
  if (state.options.on_unanswered && bytes > 0) {
    state.options.on_unanswered(
        {where, bytes, std::move(head), std::move(reason)});
  }
}

/// Answers a request whose head cannot be parsed.
template <class Stream>
asio::awaitable<void> RefuseMalformed(Stream& stream,
                                      const boost::system::error_code& code) {
  const bool oversized =
      code == http::error::header_limit || code == http::error::buffer_overflow;
  const http_response answer =
      ErrorResponse(error::Make(oversized ? error_kind::too_large
                                          : error_kind::invalid_request,
                                "malformed request: " + code.message()),
                    "");
  http::response<http::string_body> message(
      static_cast<http::status>(answer.status), 11);
  message.set(http::field::content_type, "application/json");
  message.body() = answer.body;
  message.keep_alive(false);
  message.prepare_payload();
  co_await http::async_write(stream, message, kUseResult);
}

/// Cancels the reads of a connection at \p limit unless it is destroyed first.
/// An expiring stream would close the connection, and with it lose a request
/// that has just been read.
class read_limit {
 public:
  read_limit(plain_stream& stream, time_point limit)
      : timer_(stream.get_executor(), limit) {
    timer_.async_wait([&stream, pending = std::weak_ptr<char>(pending_)](
                          const boost::system::error_code& code) {
      if (!code && !pending.expired()) {
        stream.cancel();
      }
    });
  }

 private:
  std::shared_ptr<char> pending_ = std::make_shared<char>();
  asio::steady_timer timer_;
};

/// When the wait for the head of a request ends.
class head_deadline {
 public:
  head_deadline(const server_state& state, bool first)
      : state_(&state),
        first_(first),
        began_(std::chrono::steady_clock::now()),
        read_timeout_(state.read_timeout),
        idle_timeout_(state.idle_timeout) {}

  /// To be called when the first bytes of the head are there.
  void Begin() {
    if (!std::exchange(arriving_, true) && !first_) {
      began_ = std::chrono::steady_clock::now();
      read_timeout_ = state_->read_timeout;
    }
  }
  bool arriving() const { return arriving_; }

  time_point Get() const {
    // Callers that know of a longer limit rely on it at once, and those that
    // do not know of a shorter one still rely on the longer one.
    const std::chrono::milliseconds timeout =
        first_ || arriving_
            ? std::max(read_timeout_, state_->read_timeout.load())
            : std::max(idle_timeout_, state_->idle_timeout.load());
    const time_point limit = began_ + timeout;
    if (!state_->draining) {
      return limit;
    }
    return std::min<time_point>(
        limit, std::max<time_point>(opened_, state_->draining_since) +
                   kDrainingHeadTimeout);
  }

 private:
  const server_state* state_;
  bool first_;
  bool arriving_ = false;
  time_point began_;
  time_point opened_ = began_;
  std::chrono::milliseconds read_timeout_;
  std::chrono::milliseconds idle_timeout_;
};

/// Passes the bytes of \p buffer on to the parser of a head.
boost::system::error_code PutHead(
    http::request_parser<http::buffer_body>& parser,
    beast::flat_buffer& buffer) {
  boost::system::error_code code;
  try {
    buffer.consume(parser.put(buffer.data(), code));
  } catch (const std::length_error&) {
    // Beast holds no field of 64 KB or more.
    return http::make_error_code(http::error::header_limit);
  }
  return code;
}

/// Waits for the next request and reads its head.
template <class Stream>
asio::awaitable<boost::system::error_code> ReadHead(
    Stream& stream,
    beast::flat_buffer& buffer,
    http::request_parser<http::buffer_body>& parser,
    server_state& state,
    bool first) {
  plain_stream& lowest = beast::get_lowest_layer(stream);
  const idle_scope idle(state, lowest);
  head_deadline deadline(state, first);
  buffer.max_size(kMaxBufferedBytes);
  lowest.expires_never();
  while (true) {
    if (buffer.size() > 0) {
      deadline.Begin();
      boost::system::error_code code = PutHead(parser, buffer);
      if (code && code != http::error::need_more) {
        co_return code;
      }
      if (parser.is_header_done()) {
        co_return boost::system::error_code();
      }
    }
    const bool unread = HasUnreadBytes(lowest);
    if (state.draining && !first && !deadline.arriving() && !unread) {
      co_return http::make_error_code(http::error::end_of_stream);
    }
    const time_point limit = deadline.Get();
    if (std::chrono::steady_clock::now() >= limit && !unread) {
      co_return beast::error::timeout;
    }
    const read_limit limiting(lowest, limit);
    auto [code, bytes] = co_await stream.async_read_some(
        buffer.prepare(kHeadChunkBytes), kUseResult);
    buffer.commit(bytes);
    if (code == asio::error::eof) {
      co_return http::make_error_code(deadline.arriving()
                                          ? http::error::partial_message
                                          : http::error::end_of_stream);
    }
    // A cancelled read loses no bytes; the limit is decided again.
    if (code && code != asio::error::operation_aborted) {
      co_return code;
    }
  }
}

template <class Stream>
asio::awaitable<bool> ServeOne(Stream& stream,
                               beast::flat_buffer& buffer,
                               server_state& state,
                               const std::string& remote_ip,
                               bool first) {
  http::request_parser<http::buffer_body> parser;
  parser.header_limit(
      static_cast<std::uint32_t>(state.max_header_bytes.load()));
  parser.body_limit(boost::none);
  plain_stream& lowest = beast::get_lowest_layer(stream);
  const boost::system::error_code code =
      co_await ReadHead(stream, buffer, parser, state, first);
  if (code) {
    ReportUnanswered(state, unanswered_bytes::stage::reading_head,
                     buffer.size(), std::nullopt, code.message());
    const bool parse_error =
        code.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (parse_error && code != http::error::end_of_stream &&
        code != http::error::partial_message) {
      co_await RefuseMalformed(stream, code);
    }
    co_return false;
  }
  if (std::distance(parser.get().begin(), parser.get().end()) > kMaxHeaders) {
    co_await RefuseMalformed(stream,
                             http::make_error_code(http::error::header_limit));
    co_return false;
  }
  const count_scope active(state.active);
  exchange<Stream> current(stream, buffer, parser, state, remote_ip);
  lowest.expires_never();
  bool threw = false;
  try {
    co_await state.handler(current);
  } catch (const std::exception&) {
    threw = true;
  }
  if (threw) {
    if (current.answer_started()) {
      // The caller must see that the answer is cut.
      current.Abort();
      co_return false;
    }
    http_response failure = ErrorResponse(
        error::Make(error_kind::internal, "the request failed unexpectedly"),
        "");
    co_await current.Send(std::move(failure));
  }
  if (!current.finished() && !current.peer_closed()) {
    ReportUnanswered(state, unanswered_bytes::stage::handling, 1,
                     current.request(), "the handler sent no whole answer");
  }
  co_return current.keep_alive();
}

template <class Stream>
asio::awaitable<void> ServeConnection(std::shared_ptr<server_state> state,
                                      Stream& stream) {
  boost::system::error_code code;
  const auto remote =
      beast::get_lowest_layer(stream).socket().remote_endpoint(code);
  const std::string remote_ip = code ? "" : remote.address().to_string();
  // The buffer must hold a whole head; bodies are read in pieces.
  beast::flat_buffer buffer(kMaxBufferedBytes);
  bool first = true;
  while (co_await ServeOne(stream, buffer, *state, remote_ip, first)) {
    first = false;
  }
  const std::string_view rest(static_cast<const char*>(buffer.data().data()),
                              buffer.size());
  if (const auto pipelined = FindHead(rest)) {
    ReportUnanswered(*state, unanswered_bytes::stage::after_own_close,
                     rest.size(), pipelined,
                     "it was sent behind the last request");
  }
}

asio::awaitable<void> CloseGracefully(const server_state& state,
                                      plain_stream& stream) {
  if (!stream.socket().is_open()) {
    co_return;
  }
  boost::system::error_code code;
  stream.socket().shutdown(tcp::socket::shutdown_send, code);
  stream.expires_after(kLingerTime);
  std::array<char, kDiscardedBytesPerRead> discarded;
  std::size_t total = 0;
  std::optional<http_request> head;
  while (!code) {
    std::size_t bytes = 0;
    std::tie(code, bytes) =
        co_await stream.async_read_some(asio::buffer(discarded), kUseResult);
    if (total == 0) {
      head = FindHead({discarded.data(), bytes});
    }
    total += bytes;
  }
  ReportUnanswered(state, unanswered_bytes::stage::after_own_close, total,
                   std::move(head), code.message());
  stream.close();
}

asio::awaitable<void> RunConnection(std::shared_ptr<server_state> state,
                                    [[maybe_unused]] count_scope open,
                                    tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (state->tls == nullptr) {
    plain_stream stream(std::move(socket));
    co_await ServeConnection(state, stream);
    co_await CloseGracefully(*state, stream);
    co_return;
  }
  tls_stream stream(plain_stream(std::move(socket)), *state->tls);
  beast::get_lowest_layer(stream).expires_after(state->read_timeout.load());
  auto [code] = co_await stream.async_handshake(asio::ssl::stream_base::server,
                                                kUseResult);
  if (code) {
    co_return;
  }
  co_await ServeConnection(state, stream);
  co_await CloseGracefully(*state, beast::get_lowest_layer(stream));
}

class server_impl final : public http_server {
 public:
  server_impl(std::shared_ptr<server_state> state,
              thread_pool& threads,
              tcp::acceptor acceptor)
      : state_(std::move(state)),
        threads_(threads),
        acceptor_(std::move(acceptor)) {
    const auto endpoint = acceptor_.local_endpoint();
    address_ =
        host_address::Make(endpoint.address().to_string(), endpoint.port());
  }

  host_address address() const override { return address_; }
  std::size_t open_connections() const override { return state_->connections; }
  std::size_t active_requests() const override { return state_->active; }

  void SetLimits(std::size_t max_header_bytes,
                 std::chrono::milliseconds read_timeout,
                 std::chrono::milliseconds idle_timeout) override {
    state_->max_header_bytes = max_header_bytes;
    state_->read_timeout = read_timeout;
    if (state_->idle_timeout.exchange(idle_timeout) < idle_timeout) {
      // The connections that wait read again with the longer limit.
      CancelIdleReads(state_);
    }
  }

  void Start() override {
    asio::co_spawn(acceptor_.get_executor(), Accept(), asio::detached);
  }

  void StopKeepAlive() override { state_->keeps_connections = false; }

  void StartDraining() override {
    StopKeepAlive();
    state_->draining_since = std::chrono::steady_clock::now();
    state_->draining = true;
    CancelIdleReads(state_);
  }

  void StopListening() override {
    asio::post(acceptor_.get_executor(), [this] {
      boost::system::error_code code;
      acceptor_.non_blocking(true, code);
      // Closing the acceptor would reset connections that callers have
      // established already.
      while (!code) {
        asio::io_context& context = threads_.Next();
        tcp::socket socket = acceptor_.accept(context, code);
        if (!code) {
          Run(context, std::move(socket));
        }
      }
      acceptor_.close(code);
      state_->accepting = false;
    });
  }

  bool drained() const override {
    return !state_->accepting && state_->connections == 0;
  }

 private:
  void Run(asio::io_context& context, tcp::socket socket) {
    if (state_->connections >= state_->options.max_connections) {
      return;
    }
    // Counted before its coroutine runs, so that drained() includes it.
    asio::co_spawn(context,
                   RunConnection(state_, count_scope(state_->connections),
                                 std::move(socket)),
                   asio::detached);
  }

  asio::awaitable<void> Accept() {
    while (acceptor_.is_open()) {
      asio::io_context& context = threads_.Next();
      auto [code, socket] =
          co_await acceptor_.async_accept(context, kUseResult);
      if (code == asio::error::operation_aborted) {
        co_return;
      }
      if (code) {
        // Out of descriptors: wait for connections to close.
        co_await SleepFor(std::chrono::milliseconds(50));
        continue;
      }
      Run(context, std::move(socket));
    }
  }

  std::shared_ptr<server_state> state_;
  thread_pool& threads_;
  tcp::acceptor acceptor_;
  host_address address_ = host_address::Make("127.0.0.1", 0);
};

}  // namespace

std::string_view ToString(unanswered_bytes::stage where) {
  switch (where) {
    case unanswered_bytes::stage::reading_head:
      return "reading_head";
    case unanswered_bytes::stage::handling:
      return "handling";
    case unanswered_bytes::stage::after_own_close:
      return "after_own_close";
  }
  return "";
}

result<std::unique_ptr<http_server>> http_server::Create(
    http_server_options options,
    thread_pool& threads,
    http_handler handler) {
  auto state = std::make_shared<server_state>();
  if (options.tls) {
    auto tls = internal::MakeServerTls(*options.tls);
    if (!tls) {
      return Fail(tls.error());
    }
    state->tls = *tls;
  }
  tcp::acceptor acceptor(threads.At(0));
  const auto ip = asio::ip::make_address(options.listen.ip());
  const tcp::endpoint endpoint(ip, options.listen.port());
  boost::system::error_code code;
  acceptor.open(endpoint.protocol(), code);
  if (!code) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), code);
  }
  if (!code) {
    acceptor.bind(endpoint, code);
  }
  if (!code) {
    acceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Fail(error_kind::internal, "cannot listen on " +
                                          options.listen.ToString() + ": " +
                                          code.message());
  }
  state->max_header_bytes = options.max_header_bytes;
  state->read_timeout = options.read_timeout;
  state->idle_timeout = options.idle_timeout;
  state->options = std::move(options);
  state->handler = std::move(handler);
  return std::unique_ptr<http_server>(
      new server_impl(std::move(state), threads, std::move(acceptor)));
}

}  // namespace cardamomyard
