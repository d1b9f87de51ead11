#ifndef CARDAMOMYARD_TEST_HARNESS_KEPT_CONNECTION_H_
#define CARDAMOMYARD_TEST_HARNESS_KEPT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard::harness {

/// \brief How a call on a kept connection ended.
struct kept_call {
  enum class ending {
    answered,       ///< A whole answer arrived.
    not_connected,  ///< The server took no connection.
    closed_before,  ///< The server closed while nothing was asked of it.
    crossed,        ///< The server's close was there when sending ended.
    broken_off,     ///< The server closed while the request was being sent.
    unanswered,     ///< The whole request got no byte of an answer.
    cut,            ///< The answer ended before its end.
  };
  ending how = ending::unanswered;
  bool reused = false;  ///< The connection had carried an answer before.
  int status = 0;
  bool closes = false;  ///< The answer announces the close.
  header_list headers;
  std::string body;  ///< What arrived of it.
  std::string failure;
  std::chrono::steady_clock::time_point sent;   ///< When sending ended.
  std::chrono::steady_clock::time_point ended;  ///< When the call ended.
};

std::string_view ToString(kept_call::ending how);

/// \brief A caller's connection that stays open between requests as long as
/// the server keeps it.
class kept_connection {
 public:
  explicit kept_connection(host_address server);

  bool open();
  void Close();
  /// Sends the bytes of one request in \p segments, with \p gap between them,
  /// and reads the answer within \p limit.
  kept_call Call(const std::vector<std::string>& segments,
                 std::chrono::milliseconds gap,
                 std::chrono::milliseconds limit);

 private:
  bool Connect(std::string& failure);
  /// \returns whether the server's close, or a reset, has arrived.
  bool PeerClosed();
  void Read(kept_call& call, bool closed_at_start, bool closed_before_end);

  host_address server_;
  boost::asio::io_context context_;
  boost::beast::tcp_stream stream_;
  bool used_ = false;
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_KEPT_CONNECTION_H_
