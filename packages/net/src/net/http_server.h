#ifndef CARDAMOMYARD_NET_HTTP_SERVER_H_
#define CARDAMOMYARD_NET_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"
#include "src/net/host_address.h"
#include "src/net/http_message.h"
#include "src/net/server_resources.h"
#include "src/net/thread_pool.h"

namespace cardamomyard {

/// \brief One request at the server and the means to answer it.
///
/// A handler answers exactly once: either Send(), or StartStream(), Write() and
/// Finish(). A handler that returns in the middle of a stream, or calls
/// Abort(), closes the connection without the end of the message, so the caller
/// can tell that the answer is cut.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  /// \returns the head; its body is empty.
  virtual const http_request& request() const = 0;
  virtual const std::string& remote_ip() const = 0;
  /// Reads the whole body. \returns `too_large` above \p limit bytes.
  virtual boost::asio::awaitable<result<std::string>> ReadBody(
      std::size_t limit) = 0;
  /// Reads the next piece of the body. \returns an empty string at the end, and
  /// an error when the caller's message ends early.
  virtual boost::asio::awaitable<result<std::string>> ReadSome() = 0;
  /// Counts \p bytes of memory to this exchange until its end; ReadBody() does
  /// so for the body itself. Waits a moment when the memory of the process is
  /// short. \returns `overloaded` when it stays short.
  virtual boost::asio::awaitable<result<void>> HoldMemory(
      std::size_t bytes) = 0;
  /// Ends the count of memory that HoldMemory() took.
  virtual void ReleaseMemory(std::size_t bytes) = 0;

  virtual boost::asio::awaitable<result<void>> Send(http_response response) = 0;
  virtual boost::asio::awaitable<result<void>> StartStream(
      int status,
      header_list headers) = 0;
  virtual boost::asio::awaitable<result<void>> Write(std::string chunk) = 0;
  virtual boost::asio::awaitable<result<void>> Finish() = 0;
  virtual void Abort() = 0;

  /// \returns whether any byte of an answer may have been sent.
  virtual bool answer_started() const = 0;
  /// \returns whether the caller has closed its side of the connection.
  virtual bool PeerClosed() = 0;
  /// Calls \p closed once when the caller closes the connection while the
  /// exchange lasts. Call it after the body has been read.
  virtual void WatchPeer(std::function<void()> closed) = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// \brief Certificate and key of a TLS server or client, as PEM files.
struct tls_files {
  std::string certificate_file;
  std::string key_file;
  std::string ca_file;  ///< Checked by clients; servers ask for it when set.
};

/// \brief Bytes of a caller that will get no answer.
struct unanswered_bytes {
  enum class stage {
    reading_head,    ///< The head had begun to arrive.
    handling,        ///< The handler ended without a complete answer.
    after_own_close  ///< The server had closed its side.
  };

  stage where = stage::reading_head;
  std::size_t bytes = 0;
  /// The head of the request, if all of it arrived; its body is empty.
  std::optional<http_request> head;
  /// Why the connection ends.
  std::string reason;
};

std::string_view ToString(unanswered_bytes::stage where);

/// \brief Settings of an http_server.
struct http_server_options {
  host_address listen = host_address::Make("127.0.0.1", 0);
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_connections = 10'000;
  std::chrono::milliseconds idle_timeout{75'000};
  std::chrono::milliseconds read_timeout{20'000};
  std::chrono::seconds write_timeout{20};
  std::optional<tls_files> tls;
  /// Shared by the servers of a process; unlimited when null.
  std::shared_ptr<server_resources> resources;
  /// Whether its clients are callers. They and other clients, such as peers and
  /// load balancers, can't take each other's connections.
  bool serves_callers = false;
  /// Called when a connection ends whose caller has sent bytes that get no
  /// complete answer. It runs on the thread of the connection.
  std::function<void(const unanswered_bytes&)> on_unanswered;
};

/// \brief An HTTP/1.1 server on the threads of a pool.
class http_server {
 public:
  /// Binds the address. \returns an error when it is taken.
  static result<std::unique_ptr<http_server>> Create(
      http_server_options options,
      thread_pool& threads,
      http_handler handler);
  virtual ~http_server() = default;

  /// \returns the bound address; its port is set also when 0 was asked for.
  virtual host_address address() const = 0;
  virtual void Start() = 0;
  /// Replaces the limits for connections and requests that come later. A longer
  /// idle timeout also holds for connections that are idle now.
  virtual void SetLimits(std::size_t max_header_bytes,
                         std::chrono::milliseconds read_timeout,
                         std::chrono::milliseconds idle_timeout) = 0;
  /// Ends keep-alive: each answer from now on closes its connection. Idle
  /// connections stay open.
  virtual void StopKeepAlive() = 0;
  /// Ends keep-alive and closes idle connections, except that a request that is
  /// expected or has begun to arrive gets some time. New connections are still
  /// accepted.
  virtual void StartDraining() = 0;
  /// Stops accepting connections, after those that are already established.
  virtual void StopListening() = 0;
  /// \returns whether no connection is accepted or open any more, so that the
  /// process can end without cutting a request.
  virtual bool drained() const = 0;
  virtual std::size_t open_connections() const = 0;
  virtual std::size_t active_requests() const = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_HTTP_SERVER_H_
