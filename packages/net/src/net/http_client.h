#ifndef CARDAMOMYARD_NET_HTTP_CLIENT_H_
#define CARDAMOMYARD_NET_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cardamomyard/base.h"
#include "src/net/host_address.h"
#include "src/net/http_message.h"
#include "src/net/http_server.h"

namespace cardamomyard {

/// \brief Ends a call that is still connecting or waiting for its answer.
///
/// Use it on the thread of the io_context that runs the call. A call that is
/// started after Cancel() fails at once with `not_run`.
class call_canceller {
 public:
  void Cancel() {
    cancelled_ = true;
    if (close_) {
      close_();
    }
  }
  bool cancelled() const { return cancelled_; }

  /// Used by the client: \p close closes the connection in use.
  void SetConnection(std::function<void()> close) { close_ = std::move(close); }

 private:
  bool cancelled_ = false;
  std::function<void()> close_;
};

/// \brief Which request a message answers, by its headers.
enum class answer_origin {
  this_request,
  other_request,
  unnamed,  ///< The headers name no request.
};

/// \brief Time limits and connection use of one call.
struct call_options {
  std::chrono::milliseconds connect_timeout{1000};
  /// From the start of the request to the head of the answer.
  std::chrono::milliseconds head_timeout{30'000};
  /// Between two pieces of the answer's body.
  std::chrono::milliseconds idle_timeout{30'000};
  /// From the head to the end of a body that ReadAll() reads. A server that
  /// sends a byte now and then would never exceed the idle timeout.
  std::chrono::milliseconds body_timeout{600'000};
  /// Takes a kept connection when one is idle, and keeps it afterwards.
  bool reuse_connection = false;
  /// A kept connection may turn out closed. True sends the request a second
  /// time on a new one; set it only for requests that may be sent twice.
  bool resend_on_stale = true;
  /// Asked just before the first byte is written; false ends the call with
  /// `not_run`. It must outlive the call. Null allows every call.
  const std::function<bool()>* may_send = nullptr;
  /// Asked for each message that arrives. One that answers another request is
  /// skipped, as a server may send a stray answer to an earlier one. It must
  /// outlive the call. Null takes every message for an unnamed answer.
  const std::function<answer_origin(const header_list&)>* origin_of = nullptr;
  /// Name of the request, for servers that repeat it in their answers. A
  /// connection on which a request of this name has failed is not used for it
  /// again: the server may send that answer once more.
  std::string request_name;
  /// Lets another coroutine of the same thread end the call before its head has
  /// arrived. Null when nobody does.
  std::shared_ptr<call_canceller> canceller;
};

/// \brief An answer whose body is read piece by piece.
///
/// Destroying it before the end closes the connection, which cancels the
/// request at the server.
class http_call {
 public:
  virtual ~http_call() = default;
  virtual int status() const = 0;
  virtual const header_list& headers() const = 0;
  /// \returns whether the answer has neither a length nor chunks, so that its
  /// end cannot be told from a connection that breaks between two of its
  /// pieces.
  virtual bool ends_with_connection() const = 0;
  /// Reads the next piece. \returns an empty string at the proper end of the
  /// message, and `backend_failed` or `timeout` when it is cut.
  virtual boost::asio::awaitable<result<std::string>> ReadSome() = 0;
  /// Reads the rest of the body, at most \p limit bytes.
  virtual boost::asio::awaitable<result<std::string>> ReadAll(
      std::size_t limit) = 0;
  /// Lets the reads that follow end with `timeout` when \p left has passed from
  /// now, whatever the server sends. It replaces an earlier limit.
  virtual void LimitReads(duration left) = 0;
  /// Closes the connection, so that a waiting read ends with an error. Call it
  /// on the thread of the io_context that opened the call.
  virtual void Cancel() = 0;
};

/// \returns whether \p call is a success that may have lost its whole body: it
/// has neither a length nor chunks, and \p body, all that came, is empty.
bool MayLackBody(const http_call& call, std::string_view body);

/// \brief HTTP/1.1 client. Safe to use from several threads; a kept
/// connection is used again only on the io_context that opened it.
///
/// Errors say whether the request was sent: `not_run` when no byte was written,
/// `may_have_run` afterwards, also when a second attempt on a new connection
/// fails to connect.
class http_client {
 public:
  /// \param tls  set for TLS to every server; its CA file is required.
  static result<std::unique_ptr<http_client>> Create(
      std::optional<tls_files> tls = std::nullopt);
  virtual ~http_client() = default;

  /// Sends the request and waits for the head of the answer.
  virtual boost::asio::awaitable<result<std::unique_ptr<http_call>>>
  Open(host_address server, http_request request, call_options options) = 0;

  /// Sends the request and reads the whole answer, at most \p limit bytes.
  virtual boost::asio::awaitable<result<http_response>> Fetch(
      host_address server,
      http_request request,
      call_options options,
      std::size_t limit = 16U << 20U) = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_HTTP_CLIENT_H_
