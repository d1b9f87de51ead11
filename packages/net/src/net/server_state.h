#ifndef CARDAMOMYARD_NET_SERVER_STATE_H_
#define CARDAMOMYARD_NET_SERVER_STATE_H_

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>

#include "src/net/http_server.h"

namespace cardamomyard::internal {

/// Counters and flags that connections share with their server.
struct server_state {
  http_server_options options;
  http_handler handler;
  std::shared_ptr<server_resources> resources;
  std::shared_ptr<boost::asio::ssl::context> tls;
  // May change while connections are open.
  std::atomic<std::size_t> max_header_bytes{0};
  std::atomic<std::chrono::milliseconds> read_timeout{};
  std::atomic<std::chrono::milliseconds> idle_timeout{};
  std::atomic<bool> keeps_connections{true};
  std::atomic<bool> draining{false};
  std::atomic<time_point> draining_since{};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> active{0};
  std::atomic<bool> accepting{true};
  std::mutex idle_mutex;
  /// Connections that wait for a request head.
  std::unordered_set<boost::beast::tcp_stream*> idle;
};

/// Registers a connection as idle while it waits for a request head.
class idle_scope {
 public:
  idle_scope(server_state& state, boost::beast::tcp_stream& stream)
      : state_(&state), stream_(&stream) {
    const std::lock_guard lock(state_->idle_mutex);
    state_->idle.insert(stream_);
  }
  ~idle_scope() {
    const std::lock_guard lock(state_->idle_mutex);
    state_->idle.erase(stream_);
  }
  idle_scope(const idle_scope&) = delete;
  idle_scope& operator=(const idle_scope&) = delete;

 private:
  server_state* state_;
  boost::beast::tcp_stream* stream_;
};

/// Keeps a counter raised for the lifetime of the object.
class count_scope {
 public:
  explicit count_scope(std::atomic<std::size_t>& counter) : counter_(&counter) {
    ++*counter_;
  }
  count_scope(count_scope&& other) noexcept
      : counter_(std::exchange(other.counter_, nullptr)) {}
  ~count_scope() {
    if (counter_ != nullptr) {
      --*counter_;
    }
  }
  count_scope(const count_scope&) = delete;
  count_scope& operator=(const count_scope&) = delete;
  count_scope& operator=(count_scope&&) = delete;

 private:
  std::atomic<std::size_t>* counter_;
};

/// \returns whether bytes have arrived that were not read.
inline bool HasUnreadBytes(boost::beast::tcp_stream& stream) {
  char byte = 0;
  return ::recv(stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Cancels the reads of the idle connections, each on its own thread, so that a
/// read that has received bytes is not lost.
inline void CancelIdleReads(const std::shared_ptr<server_state>& state) {
  const std::lock_guard lock(state->idle_mutex);
  for (boost::beast::tcp_stream* stream : state->idle) {
    boost::asio::post(stream->get_executor(), [state, stream] {
      const std::lock_guard lock(state->idle_mutex);
      if (state->idle.contains(stream)) {
        stream->cancel();
      }
    });
  }
}

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_NET_SERVER_STATE_H_
