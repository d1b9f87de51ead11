#include "src/net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/execution/context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/query.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <map>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/tls_context.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxIdlePerServer = 32;
constexpr auto kUseResult = asio::as_tuple(asio::use_awaitable);

using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

/// An open connection, with or without TLS.
struct connection {
  explicit connection(plain_stream plain) : stream(std::move(plain)) {}
  explicit connection(tls_stream secure) : stream(std::move(secure)) {}

  std::variant<plain_stream, tls_stream> stream;
  beast::flat_buffer buffer{kMaxHeaderBytes + kReadChunkBytes};
  bool reused = false;

  plain_stream& lowest() {
    return std::visit(
        [](auto& s) -> plain_stream& { return beast::get_lowest_layer(s); },
        stream);
  }
};
using connection_ptr = std::unique_ptr<connection>;

/// Idle connections by io_context and server.
class connection_pool {
 public:
  using key = std::pair<const void*, host_address>;

  connection_ptr Take(const key& where) {
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(where);
    if (found == idle_.end() || found->second.empty()) {
      return nullptr;
    }
    connection_ptr taken = std::move(found->second.back());
    found->second.pop_back();
    taken->reused = true;
    return taken;
  }

  void Give(const key& where, connection_ptr link) {
    link->lowest().expires_never();
    const std::lock_guard lock(mutex_);
    if (closed_) {
      return;
    }
    std::vector<connection_ptr>& idle = idle_[where];
    if (idle.size() < kMaxIdlePerServer) {
      idle.push_back(std::move(link));
    }
  }

  /// Closes the idle connections and those that are given back later. A
  /// suspended call may keep the pool until its io_context is destroyed, and a
  /// connection must not outlive that.
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    idle_.clear();
  }

 private:
  std::mutex mutex_;
  bool closed_ = false;
  std::map<key, std::vector<connection_ptr>> idle_;
};

error CallFailure(const boost::system::error_code& code,
                  const std::string& step,
                  outcome ran) {
  const bool late = code == beast::error::timeout;
  return error::Make(late ? error_kind::timeout : error_kind::backend_failed,
                     step + ": " + code.message())
      .WithOutcome(ran);
}

class call_impl final : public http_call {
 public:
  using parser_type = http::response_parser<http::buffer_body>;

  call_impl(connection_ptr link,
            std::unique_ptr<parser_type> parser,
            call_options options,
            std::shared_ptr<connection_pool> pool,
            connection_pool::key where)
      : link_(std::move(link)),
        parser_(std::move(parser)),
        options_(options),
        pool_(std::move(pool)),
        where_(std::move(where)) {
    for (const auto& field : parser_->get()) {
      headers_.Add(std::string(field.name_string()),
                   std::string(field.value()));
    }
  }

  int status() const override { return parser_->get().result_int(); }
  const header_list& headers() const override { return headers_; }

  asio::awaitable<result<std::string>> ReadSome() override {
    if (parser_->is_done()) {
      KeepConnection();
      co_return std::string();
    }
    std::string piece(kReadChunkBytes, '\0');
    std::size_t got = 0;
    // A chunk header alone may be consumed without any body byte.
    while (got == 0 && !parser_->is_done()) {
      parser_->get().body().data = piece.data();
      parser_->get().body().size = piece.size();
      link_->lowest().expires_after(options_.idle_timeout);
      auto [code, bytes] = co_await std::visit(
          [this](auto& stream) {
            return http::async_read_some(stream, link_->buffer, *parser_,
                                         kUseResult);
          },
          link_->stream);
      if (code && code != http::error::need_buffer) {
        co_return Fail(
            CallFailure(code, "reading the answer", outcome::may_have_run));
      }
      got = piece.size() - parser_->get().body().size;
    }
    if (got == 0) {
      KeepConnection();
    }
    piece.resize(got);
    co_return piece;
  }

  asio::awaitable<result<std::string>> ReadAll(std::size_t limit) override {
    std::string body;
    while (true) {
      result<std::string> piece = co_await ReadSome();
      if (!piece || piece->empty()) {
        if (!piece) {
          co_return piece;
        }
        co_return body;
      }
      if (body.size() + piece->size() > limit) {
        co_return Fail(error::Make(error_kind::too_large,
                                   "the answer exceeds " +
                                       std::to_string(limit) + " bytes")
                           .WithOutcome(outcome::ran));
      }
      body += *piece;
    }
  }

  void Cancel() override {
    if (link_ != nullptr) {
      link_->lowest().close();
    }
  }

 private:
  void KeepConnection() {
    if (link_ != nullptr && options_.reuse_connection &&
        parser_->keep_alive()) {
      pool_->Give(where_, std::move(link_));
    }
  }

  connection_ptr link_;
  std::unique_ptr<parser_type> parser_;
  call_options options_;
  std::shared_ptr<connection_pool> pool_;
  connection_pool::key where_;
  header_list headers_;
};

class client_impl final : public http_client {
 public:
  explicit client_impl(std::shared_ptr<asio::ssl::context> tls)
      : tls_(std::move(tls)), pool_(std::make_shared<connection_pool>()) {}

  // Idle connections belong to io_contexts, so the client must be destroyed
  // before these. Calls that have begun may still be suspended then: after
  // their start the coroutines use no member of the client.
  ~client_impl() override { pool_->Close(); }
  client_impl(const client_impl&) = delete;
  client_impl& operator=(const client_impl&) = delete;

  asio::awaitable<result<std::unique_ptr<http_call>>> Open(
      host_address server,
      http_request request,
      call_options options) override {
    const std::shared_ptr<connection_pool> pool = pool_;
    const std::shared_ptr<asio::ssl::context> tls = tls_;
    const auto executor = co_await asio::this_coro::executor;
    const connection_pool::key where{
        &asio::query(executor, asio::execution::context), server};
    if (options.reuse_connection) {
      if (connection_ptr kept = pool->Take(where)) {
        auto answer = co_await Exchange(std::move(kept), server, request,
                                        options, pool, where);
        // The server may have closed the kept connection in the meantime.
        if (answer || answer.error().kind() == error_kind::timeout) {
          co_return answer;
        }
      }
    }
    result<connection_ptr> link = co_await Connect(server, options, tls);
    if (!link) {
      co_return Fail(link.error());
    }
    co_return co_await Exchange(std::move(*link), server, request, options,
                                pool, where);
  }

  asio::awaitable<result<http_response>> Fetch(host_address server,
                                               http_request request,
                                               call_options options,
                                               std::size_t limit) override {
    auto call = co_await Open(std::move(server), std::move(request), options);
    if (!call) {
      co_return Fail(call.error());
    }
    result<std::string> body = co_await (*call)->ReadAll(limit);
    if (!body) {
      co_return Fail(body.error());
    }
    co_return http_response{(*call)->status(), (*call)->headers(),
                            std::move(*body)};
  }

 private:
  static asio::awaitable<result<connection_ptr>> Connect(
      const host_address& server,
      const call_options& options,
      const std::shared_ptr<asio::ssl::context>& tls) {
    const auto executor = co_await asio::this_coro::executor;
    boost::system::error_code bad_ip;
    const tcp::endpoint endpoint(asio::ip::make_address(server.ip(), bad_ip),
                                 server.port());
    plain_stream stream(executor);
    stream.expires_after(options.connect_timeout);
    auto [code] = co_await stream.async_connect(endpoint, kUseResult);
    if (code) {
      co_return Fail(CallFailure(code, "connecting to " + server.ToString(),
                                 outcome::not_run));
    }
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    if (tls == nullptr) {
      co_return std::make_unique<connection>(std::move(stream));
    }
    tls_stream secure(std::move(stream), *tls);
    auto [failed] = co_await secure.async_handshake(
        asio::ssl::stream_base::client, kUseResult);
    if (failed) {
      co_return Fail(
          CallFailure(failed, "TLS to " + server.ToString(), outcome::not_run));
    }
    co_return std::make_unique<connection>(std::move(secure));
  }

  static asio::awaitable<result<std::unique_ptr<http_call>>> Exchange(
      connection_ptr link,
      const host_address& server,
      const http_request& request,
      const call_options& options,
      const std::shared_ptr<connection_pool>& pool,
      const connection_pool::key& where) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, server.ToString());
    for (const http_header& field : request.headers.all()) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(options.reuse_connection);
    message.body() = request.body;
    message.prepare_payload();
    if (options.may_send != nullptr && !(*options.may_send)()) {
      co_return Fail(
          error::Make(error_kind::not_ready, "the call may no longer be sent")
              .WithOutcome(outcome::not_run));
    }
    link->lowest().expires_after(options.head_timeout);
    auto [write_code, written] = co_await std::visit(
        [&message](auto& stream) {
          return http::async_write(stream, message, kUseResult);
        },
        link->stream);
    if (write_code) {
      co_return Fail(CallFailure(write_code, "sending to " + server.ToString(),
                                 outcome::may_have_run));
    }
    auto parser = std::make_unique<call_impl::parser_type>();
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(boost::none);
    auto [read_code, read] = co_await std::visit(
        [&](auto& stream) {
          return http::async_read_header(stream, link->buffer, *parser,
                                         kUseResult);
        },
        link->stream);
    if (read_code) {
      co_return Fail(CallFailure(read_code, "waiting for " + server.ToString(),
                                 outcome::may_have_run));
    }
    co_return std::make_unique<call_impl>(std::move(link), std::move(parser),
                                          options, pool, where);
  }

  std::shared_ptr<asio::ssl::context> tls_;
  std::shared_ptr<connection_pool> pool_;
};

}  // namespace

result<std::unique_ptr<http_client>> http_client::Create(
    std::optional<tls_files> tls) {
  std::shared_ptr<asio::ssl::context> context;
  if (tls) {
    auto made = internal::MakeClientTls(*tls);
    if (!made) {
      return Fail(made.error());
    }
    context = *made;
  }
  return std::unique_ptr<http_client>(
      std::make_unique<client_impl>(std::move(context)));
}

}  // namespace cardamomyard
