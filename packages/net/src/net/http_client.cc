#include "src/net/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
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
#include <charconv>
#include <chrono>
#include <exception>
#include <map>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/message_rules.h"
#include "src/net/tls_context.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxBufferedBytes = kMaxHeaderBytes + kReadChunkBytes;
// Beast throws for a trailer of 64 KB, which thus never is in the buffer.
constexpr std::size_t kMaxBufferedBodyBytes = 60 * 1024;
constexpr std::size_t kMaxIdlePerServer = 32;
// A connection without a Keep-Alive header is kept this long. Common servers
// close idle connections after 5 s.
constexpr std::chrono::milliseconds kDefaultIdleLife{4000};
// A kept connection is given up this long before the server closes it, so that
// a request does not cross the close.
constexpr std::chrono::milliseconds kIdleMargin{700};
// A connection whose peer is silent is probed each second and dropped after
// this time; it then fails instead of hanging.
constexpr std::chrono::milliseconds kSilenceLimit{2500};
constexpr int kProbeSeconds = 1;
constexpr int kProbeCount = 2;
// Messages that belong to no request are skipped this often at most, each up to
// this size.
constexpr int kMaxStrayAnswers = 3;
constexpr std::size_t kMaxStrayBytes = 1U << 20U;
// Answers such as 100 (Continue) precede the final one.
constexpr int kMaxInterimAnswers = 16;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kNoContentStatus = 204;
constexpr int kFirstRedirectStatus = 300;
constexpr int kFirstErrorStatus = 400;
// A connection with more failed requests is not kept.
constexpr std::size_t kMaxFailedNames = 16;
constexpr auto kUseResult = asio::as_tuple(asio::use_awaitable);

using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

/// An open connection, with or without TLS.
struct connection {
  explicit connection(plain_stream plain) : stream(std::move(plain)) {}
  explicit connection(tls_stream secure) : stream(std::move(secure)) {}

  std::variant<plain_stream, tls_stream> stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  bool reused = false;
  std::chrono::steady_clock::time_point usable_until;
  /// Names of the requests that were answered with an error here.
  std::vector<std::string> failed_names;

  bool HasFailed(const std::string& name) const {
    return std::find(failed_names.begin(), failed_names.end(), name) !=
           failed_names.end();
  }

  /// \returns whether the peer has neither closed nor sent anything.
  bool Quiet() {
    char byte = 0;
    const auto got = ::recv(lowest().socket().native_handle(), &byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
    return buffer.size() == 0 && got < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

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

  /// \returns an idle connection on which no request \p name has failed.
  connection_ptr Take(const key& where, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(where);
    if (found == idle_.end()) {
      return nullptr;
    }
    std::vector<connection_ptr>& idle = found->second;
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = idle.size(); i-- > 0;) {
      if (idle[i]->HasFailed(name)) {
        continue;
      }
      connection_ptr taken = std::move(idle[i]);
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      if (now < taken->usable_until && taken->Quiet()) {
        taken->reused = true;
        return taken;
      }
    }
    return nullptr;
  }

  void Give(const key& where,
            connection_ptr link,
            std::chrono::milliseconds idle_life) {
    link->lowest().expires_never();
    link->usable_until = std::chrono::steady_clock::now() + idle_life;
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

/// \returns how long the server keeps an idle connection, less the margin.
std::chrono::milliseconds IdleLife(const header_list& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::optional<std::string> field = headers.Get("Keep-Alive");
  const std::size_t at = field ? field->find(kTimeout) : std::string::npos;
  if (at == std::string::npos) {
    return kDefaultIdleLife;
  }
  int seconds = 0;
  const char* begin = field->data() + at + kTimeout.size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::chrono::seconds(seconds) - kIdleMargin;
}

void SetSocketOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const auto set = [&socket](int name, int value) {
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value,
                 sizeof(value));
  };
  set(TCP_KEEPIDLE, kProbeSeconds);
  set(TCP_KEEPINTVL, kProbeSeconds);
  set(TCP_KEEPCNT, kProbeCount);
  set(TCP_USER_TIMEOUT, static_cast<int>(kSilenceLimit.count()));
}

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

  call_impl(std::unique_ptr<parser_type> parser,
            call_options options,
            std::shared_ptr<connection_pool> pool,
            connection_pool::key where)
      : parser_(std::move(parser)),
        options_(std::move(options)),
        pool_(std::move(pool)),
        where_(std::move(where)) {
    for (const auto& field : parser_->get()) {
      headers_.Add(std::string(field.name_string()),
                   std::string(field.value()));
    }
  }

  void TakeConnection(connection_ptr link) { link_ = std::move(link); }
  connection_ptr ReleaseConnection() { return std::move(link_); }

  /// Reads to the end of the message and keeps the connection here.
  asio::awaitable<result<void>> Skip(time_point deadline) {
    options_.reuse_connection = false;
    read_deadline_ = deadline;
    result<std::string> skipped = co_await ReadAll(kMaxStrayBytes);
    if (!skipped) {
      co_return Fail(skipped.error());
    }
    co_return result<void>();
  }

  int status() const override { return parser_->get().result_int(); }
  const header_list& headers() const override { return headers_; }
  bool ends_with_connection() const override {
    return !parser_->chunked() && !parser_->content_length();
  }
  /// \returns whether the body ends where the connection does.
  bool needs_end_of_stream() const { return parser_->need_eof(); }

  asio::awaitable<result<std::string>> ReadSome() override {
    if (parser_->is_done()) {
      KeepConnection();
      co_return std::string();
    }
    std::array<char, kReadChunkBytes> piece;
    std::size_t got = 0;
    link_->buffer.max_size(
        std::max(link_->buffer.size(), kMaxBufferedBodyBytes));
    // Not renewed in the loop: the bytes of a chunk header are no progress.
    link_->lowest().expires_at(std::min<time_point>(
        std::chrono::steady_clock::now() + options_.idle_timeout,
        read_deadline_));
    // A chunk header alone may be consumed without any body byte.
    while (got == 0 && !parser_->is_done()) {
      parser_->get().body().data = piece.data();
      parser_->get().body().size = piece.size();
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
    co_return std::string(piece.data(), got);
  }

  asio::awaitable<result<std::string>> ReadAll(std::size_t limit) override {
    read_deadline_ =
        std::min<time_point>(read_deadline_, std::chrono::steady_clock::now() +
                                                 options_.body_timeout);
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

  void LimitReads(duration left) override {
    read_deadline_ = std::chrono::steady_clock::now() + left;
  }

  void Cancel() override {
    if (link_ != nullptr) {
      link_->lowest().close();
    }
  }

 private:
  void KeepConnection() {
    if (link_ == nullptr || !options_.reuse_connection ||
        !parser_->keep_alive()) {
      return;
    }
    if (status() >= kFirstErrorStatus) {
      // A faulty server may send this answer once more. An unnamed one could
      // not be told from the answer to the next request.
      const bool is_named =
          options_.origin_of != nullptr &&
          (*options_.origin_of)(headers_) == answer_origin::this_request;
      if (!is_named || link_->failed_names.size() >= kMaxFailedNames) {
        return;
      }
      link_->failed_names.push_back(options_.request_name);
    }
    pool_->Give(where_, std::move(link_), IdleLife(headers_));
  }

  connection_ptr link_;
  std::unique_ptr<parser_type> parser_;
  call_options options_;
  time_point read_deadline_ = time_point::max();
  std::shared_ptr<connection_pool> pool_;
  connection_pool::key where_;
  header_list headers_;
};

/// Lets a canceller close the connection while its answer is awaited.
class canceller_scope {
 public:
  canceller_scope(call_canceller* canceller, connection& link)
      : canceller_(canceller) {
    if (canceller_ != nullptr) {
      canceller_->SetConnection([&link] { link.lowest().close(); });
    }
  }
  ~canceller_scope() {
    if (canceller_ != nullptr) {
      canceller_->SetConnection(nullptr);
    }
  }
  canceller_scope(const canceller_scope&) = delete;
  canceller_scope& operator=(const canceller_scope&) = delete;

 private:
  call_canceller* canceller_;
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
    std::string reason;
    try {
      co_return co_await OpenOrThrow(std::move(server), std::move(request),
                                     std::move(options), pool_, tls_);
    } catch (const std::exception& thrown) {
      // Callers open calls in coroutines of their own, where an exception would
      // end the process.
      reason = thrown.what();
    }
    co_return Fail(error::Make(error_kind::internal, "the call: " + reason)
                       .WithOutcome(outcome::may_have_run));
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
  static asio::awaitable<result<std::unique_ptr<http_call>>> OpenOrThrow(
      host_address server,
      http_request request,
      call_options options,
      std::shared_ptr<connection_pool> pool,
      std::shared_ptr<asio::ssl::context> tls) {
    if (result<void> valid = CheckHead(request); !valid) {
      co_return Fail(valid.error().WithOutcome(outcome::not_run));
    }
    const auto executor = co_await asio::this_coro::executor;
    const connection_pool::key where{
        &asio::query(executor, asio::execution::context), server};
    if (options.canceller != nullptr && options.canceller->cancelled()) {
      co_return Fail(
          error::Make(error_kind::cancelled, "the call was cancelled")
              .WithOutcome(outcome::not_run));
    }
    const time_point head_deadline =
        std::chrono::steady_clock::now() + options.head_timeout;
    // Failures of the second attempt keep the outcome of the first.
    outcome ran = outcome::not_run;
    if (options.reuse_connection) {
      if (connection_ptr kept = pool->Take(where, options.request_name)) {
        auto answer = co_await Exchange(std::move(kept), server, request,
                                        options, head_deadline, pool, where);
        const bool is_cancelled =
            options.canceller != nullptr && options.canceller->cancelled();
        // The server may have closed the kept connection in the meantime.
        if (answer || !options.resend_on_stale || is_cancelled ||
            answer.error().kind() == error_kind::timeout ||
            answer.error().kind() == error_kind::not_ready) {
          co_return answer;
        }
        ran = answer.error().ran();
      }
    }
    result<connection_ptr> link = co_await Connect(server, options, tls);
    if (!link) {
      co_return Fail(ran == outcome::not_run ? link.error()
                                             : link.error().WithOutcome(ran));
    }
    auto answer = co_await Exchange(std::move(*link), server, request, options,
                                    head_deadline, pool, where);
    if (!answer && ran != outcome::not_run) {
      co_return Fail(answer.error().WithOutcome(ran));
    }
    co_return answer;
  }

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
    if (options.canceller != nullptr) {
      options.canceller->SetConnection([&stream] { stream.close(); });
    }
    auto [code] = co_await stream.async_connect(endpoint, kUseResult);
    if (options.canceller != nullptr) {
      options.canceller->SetConnection(nullptr);
    }
    if (code) {
      co_return Fail(CallFailure(code, "connecting to " + server.ToString(),
                                 outcome::not_run));
    }
    SetSocketOptions(stream.socket());
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
      call_options options,
      time_point head_deadline,
      const std::shared_ptr<connection_pool>& pool,
      const connection_pool::key& where) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    if (request.headers.Count("Host") == 0) {
      message.set(http::field::host, server.ToString());
    }
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
    const canceller_scope cancelling(options.canceller.get(), *link);
    link->lowest().expires_at(head_deadline);
    auto [write_code, written] = co_await std::visit(
        [&message](auto& stream) {
          return http::async_write(stream, message, kUseResult);
        },
        link->stream);
    // Why the request was not sent whole. The server may have answered before.
    std::optional<error> cut;
    if (write_code) {
      cut = CallFailure(write_code, "sending to " + server.ToString(),
                        outcome::may_have_run);
      const bool is_cancelled =
          options.canceller != nullptr && options.canceller->cancelled();
      if (write_code == beast::error::timeout || is_cancelled) {
        co_return Fail(*cut);
      }
      options.reuse_connection = false;
    }
    int stray = 0;
    int interim = 0;
    while (stray <= kMaxStrayAnswers && interim <= kMaxInterimAnswers) {
      auto call = co_await ReadHead(link, server, options, pool, where);
      if (!call) {
        co_return Fail(cut ? *cut : call.error());
      }
      const bool is_interim = (*call)->status() < kFirstFinalStatus;
      const answer_origin origin =
          options.origin_of == nullptr
              ? answer_origin::unnamed
              : (*options.origin_of)((*call)->headers());
      if (!is_interim && origin != answer_origin::other_request) {
        // The reset has been reported to the write, so the end of an answer
        // without length proves nothing. On a kept connection an unnamed
        // answer may be about the connection, which was idle too long.
        if (cut && ((*call)->needs_end_of_stream() ||
                    (link->reused && origin == answer_origin::unnamed))) {
          co_return Fail(*cut);
        }
        (*call)->TakeConnection(std::move(link));
        co_return std::move(*call);
      }
      if (is_interim) {
        ++interim;
      } else {
        ++stray;
        // The server is out of step, so the connection is not kept afterwards.
        options.reuse_connection = false;
      }
      // Its connection stays with this function; only the body is skipped.
      (*call)->TakeConnection(std::move(link));
      result<void> skipped = co_await (*call)->Skip(head_deadline);
      if (!skipped) {
        co_return Fail(skipped.error());
      }
      link = (*call)->ReleaseConnection();
      link->lowest().expires_at(head_deadline);
    }
    co_return Fail(
        error::Make(error_kind::backend_failed,
                    server.ToString() + " sent no answer to the request")
            .WithOutcome(outcome::may_have_run));
  }

  /// Reads the head of the next message. The call gets its connection by
  /// TakeConnection().
  static asio::awaitable<result<std::unique_ptr<call_impl>>> ReadHead(
      const connection_ptr& link,
      const host_address& server,
      const call_options& options,
      const std::shared_ptr<connection_pool>& pool,
      const connection_pool::key& where) {
    auto parser = std::make_unique<call_impl::parser_type>();
    link->buffer.max_size(kMaxBufferedBytes);
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(boost::none);
    auto [code, read] = co_await std::visit(
        [&](auto& stream) {
          return http::async_read_header(stream, link->buffer, *parser,
                                         kUseResult);
        },
        link->stream);
    if (code) {
      co_return Fail(CallFailure(code, "waiting for " + server.ToString(),
                                 outcome::may_have_run));
    }
    const auto status = static_cast<int>(parser->get().result_int());
    if (status < kFirstStatus || status > kLastStatus) {
      co_return Fail(error::Make(error_kind::backend_failed,
                                 server.ToString() + " sent the status " +
                                     std::to_string(status) +
                                     ", which HTTP does not know")
                         .WithOutcome(outcome::may_have_run));
    }
    co_return std::make_unique<call_impl>(std::move(parser), options, pool,
                                          where);
  }

  std::shared_ptr<asio::ssl::context> tls_;
  std::shared_ptr<connection_pool> pool_;
};

}  // namespace

bool MayLackBody(const http_call& call, std::string_view body) {
  const bool has_body = call.status() >= kFirstFinalStatus &&
                        call.status() < kFirstRedirectStatus &&
                        call.status() != kNoContentStatus;
  return has_body && call.ends_with_connection() && body.empty();
}

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
