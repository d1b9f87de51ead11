#ifndef CARDAMOMYARD_NET_HEAD_READER_H_
#define CARDAMOMYARD_NET_HEAD_READER_H_

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <utility>

#include "src/net/server_resources.h"
#include "src/net/server_state.h"

namespace cardamomyard::internal {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using plain_stream = beast::tcp_stream;
inline constexpr auto kUseResult = asio::as_tuple(asio::use_awaitable);

inline constexpr std::size_t kHeadChunkBytes = 4096;
// Above any limit for heads, since that may be raised while connections are
// open. The buffer grows only when it is needed.
inline constexpr std::size_t kMaxBufferedBytes = 1024 * 1024;
// While draining, a connection whose request is on its way gets this long.
inline constexpr std::chrono::milliseconds kDrainingHeadTimeout{1000};

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
inline boost::system::error_code PutHead(
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
    connection_holding& holding,
    bool first) {
  plain_stream& lowest = beast::get_lowest_layer(stream);
  holding.Enter(connection_stage::idle);
  if (buffer.size() == 0) {
    // A connection that waits holds no buffer of a long head before.
    buffer.shrink_to_fit();
  }
  const idle_scope idle(state, lowest);
  head_deadline deadline(state, first);
  buffer.max_size(kMaxBufferedBytes);
  lowest.expires_never();
  while (true) {
    if (buffer.size() > 0) {
      if (!deadline.arriving()) {
        holding.Enter(connection_stage::head);
      }
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

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_NET_HEAD_READER_H_
