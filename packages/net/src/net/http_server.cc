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
#include "src/net/head_reader.h"
#include "src/net/server_exchange.h"
#include "src/net/server_resources.h"
#include "src/net/server_state.h"
#include "src/net/sleep.h"
#include "src/net/tls_context.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

// Looking up a header takes time in proportion to their number.
constexpr std::ptrdiff_t kMaxHeaders = 100;
// Closing a socket with unread bytes resets the connection, which may destroy
// an answer that the caller has not read yet. Bytes are therefore discarded for
// this time or until the caller closes.
constexpr std::chrono::milliseconds kLingerTime{500};
constexpr std::size_t kDiscardedBytesPerRead = 4096;

using internal::CancelIdleReads;
using internal::CopyHead;
using internal::count_scope;
using internal::HasUnreadBytes;
using internal::kMaxBufferedBytes;
using internal::kUseResult;
using internal::plain_stream;
using internal::server_exchange;
using internal::server_state;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

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

template <class Stream>
asio::awaitable<bool> ServeOne(Stream& stream,
                               beast::flat_buffer& buffer,
                               server_state& state,
                               connection_holding& holding,
                               const std::string& remote_ip,
                               bool first) {
  http::request_parser<http::buffer_body> parser;
  parser.header_limit(
      static_cast<std::uint32_t>(state.max_header_bytes.load()));
  parser.body_limit(boost::none);
  plain_stream& lowest = beast::get_lowest_layer(stream);
  const boost::system::error_code code = co_await internal::ReadHead(
      stream, buffer, parser, state, holding, first);
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
  // By HTTP, and no client may pass such a request on.
  if (parser.get().method() == http::verb::trace &&
      (parser.chunked() || parser.content_length().value_or(0) > 0)) {
    co_await RefuseMalformed(
        stream, http::make_error_code(http::error::unexpected_body));
    co_return false;
  }
  const count_scope active(state.active);
  server_exchange<Stream> current(stream, buffer, parser, state, holding,
                                  remote_ip);
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
                                      connection_holding& holding,
                                      Stream& stream) {
  boost::system::error_code code;
  const auto remote =
      beast::get_lowest_layer(stream).socket().remote_endpoint(code);
  const std::string remote_ip = code ? "" : remote.address().to_string();
  // The buffer must hold a whole head; bodies are read in pieces.
  beast::flat_buffer buffer(kMaxBufferedBytes);
  bool first = true;
  while (co_await ServeOne(stream, buffer, *state, holding, remote_ip, first)) {
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

/// Lets another thread close a connection, as long as it exists and is of no
/// use.
class remote_close {
 public:
  explicit remote_close(plain_stream& stream)
      : target_(std::make_shared<target>(target{&stream, nullptr})) {}

  std::function<void()> Function() const {
    return [executor = target_->stream->get_executor(),
            target = std::weak_ptr<remote_close::target>(target_)] {
      asio::post(executor, [target] {
        // The connection ends on this thread, so it lives during the call.
        const auto open = target.lock();
        if (open && open->holding != nullptr &&
            open->holding->ConfirmClose(HasUnreadBytes(*open->stream))) {
          open->stream->close();
        }
      });
    };
  }
  void SetHolding(connection_holding& holding) { target_->holding = &holding; }

 private:
  struct target {
    plain_stream* stream;
    connection_holding* holding;
  };
  std::shared_ptr<target> target_;
};

template <class Stream>
asio::awaitable<void> ServeAndClose(std::shared_ptr<server_state> state,
                                    connection_holding& holding,
                                    Stream& stream) {
  co_await ServeConnection(state, holding, stream);
  // While it waits for the client to close, it may be closed for another one.
  holding.Enter(connection_stage::idle);
  co_await CloseGracefully(*state, beast::get_lowest_layer(stream));
}

asio::awaitable<void> RunConnection(std::shared_ptr<server_state> state,
                                    [[maybe_unused]] count_scope open,
                                    connection_slot slot,
                                    tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (state->tls == nullptr) {
    plain_stream stream(std::move(socket));
    remote_close closing(stream);
    connection_holding holding(slot, closing.Function());
    closing.SetHolding(holding);
    co_await ServeAndClose(state, holding, stream);
    co_return;
  }
  tls_stream stream(plain_stream(std::move(socket)), *state->tls);
  remote_close closing(beast::get_lowest_layer(stream));
  connection_holding holding(slot, closing.Function());
  closing.SetHolding(holding);
  beast::get_lowest_layer(stream).expires_after(state->read_timeout.load());
  auto [code] = co_await stream.async_handshake(asio::ssl::stream_base::server,
                                                kUseResult);
  if (code) {
    co_return;
  }
  co_await ServeAndClose(state, holding, stream);
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
    auto slot = state_->resources->OpenConnection(state_->options.serves_callers
                                                      ? client_kind::callers
                                                      : client_kind::others);
    if (!slot) {
      return;
    }
    // Counted before its coroutine runs, so that drained() includes it.
    asio::co_spawn(context,
                   RunConnection(state_, count_scope(state_->connections),
                                 std::move(*slot), std::move(socket)),
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
  state->resources = options.resources != nullptr ? options.resources
                                                  : server_resources::Make({});
  state->options = std::move(options);
  state->handler = std::move(handler);
  return std::unique_ptr<http_server>(
      new server_impl(std::move(state), threads, std::move(acceptor)));
}

}  // namespace cardamomyard
