#ifndef CARDAMOMYARD_GATEWAY_SERVER_ATTEMPT_H_
#define CARDAMOMYARD_GATEWAY_SERVER_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/net.h"
#include "src/gateway/host_runtime.h"

namespace cardamomyard {

/// \brief One attempt of an online request at a backend server.
///
/// Waiting for the server never ends the attempt, so a server that is silent
/// for a while can go on. The attempt counts in its server's load until it is
/// cancelled or destroyed. Use it on the thread of the request.
class server_attempt : public std::enable_shared_from_this<server_attempt> {
 public:
  /// Sends the request.
  /// \param options  its callbacks are replaced, but for `origin_of`.
  static std::shared_ptr<server_attempt> Start(
      host_runtime& host,
      const boost::asio::any_io_executor& executor,
      chosen_backend place,
      http_request message,
      call_options options,
      std::function<answer_origin(const header_list&)> origin_of);
  ~server_attempt();
  server_attempt(const server_attempt&) = delete;
  server_attempt& operator=(const server_attempt&) = delete;

  const backend_entry& backend() const { return place_.server.entry; }
  std::chrono::milliseconds expected_wait() const {
    return place_.expected_wait;
  }
  time_point started() const { return started_; }
  /// \returns false when the request was held back just before it was sent.
  bool admitted() const { return admitted_; }
  /// \returns when a byte of the request may first have been sent.
  std::optional<time_point> written() const { return written_; }

  /// Waits for the response head or a failure. \returns whether one is there.
  boost::asio::awaitable<bool> WaitForHead(time_point limit);
  bool has_response() const { return response_.has_value(); }
  /// \returns whether the attempt has failed before the request was sent.
  bool unreachable() const {
    return response_ && !*response_ &&
           (!written_ || response_->error().ran() == outcome::not_run);
  }
  bool failed() const {
    return (response_ && !*response_) || (piece_ && !*piece_);
  }
  /// \returns the response once WaitForHead() has returned true.
  const result<std::unique_ptr<http_call>>& response() const {
    return *response_;
  }
  /// Reads the next piece of the body. \returns nothing when none has arrived
  /// until \p limit; the read goes on and the next call returns its piece.
  boost::asio::awaitable<std::optional<result<std::string>>> ReadSome(
      time_point limit);
  /// Lets a waiting call return at once, as at its limit.
  void Wake() { changed_.cancel(); }
  /// Wakes \p other too when a head, a piece or a failure arrives.
  void WakeWithNews(std::weak_ptr<server_attempt> other) {
    listener_ = std::move(other);
  }
  /// \returns whether a piece or a failure was read that no call has returned.
  bool has_piece() const { return piece_.has_value(); }
  /// Closes the connection, which cancels the request at the server.
  void Cancel();

  int events = 0;  ///< Events received.
  std::optional<time_point> first_event;
  /// When the last event, or the end of an answer without events, arrived.
  std::optional<time_point> last_event;
  /// Whether the server has been reported as silent.
  bool silence_reported = false;
  /// When the next move away from the silent server is tried.
  time_point next_move{};

 private:
  server_attempt(host_runtime& host,
                 const boost::asio::any_io_executor& executor,
                 chosen_backend place,
                 std::function<answer_origin(const header_list&)> origin_of);
  boost::asio::awaitable<void> Open(http_request message, call_options options);
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> WaitForChange(time_point limit);
  void NotifyChanged();
  void EndLoad();

  host_runtime* host_;
  chosen_backend place_;
  std::function<answer_origin(const header_list&)> origin_of_;
  std::function<bool()> may_send_;
  std::shared_ptr<call_canceller> canceller_;
  boost::asio::steady_timer changed_;
  std::weak_ptr<server_attempt> listener_;
  time_point started_;
  bool admitted_ = true;
  std::optional<time_point> written_;
  std::optional<result<std::unique_ptr<http_call>>> response_;
  bool reading_ = false;
  std::optional<result<std::string>> piece_;
  bool cancelled_ = false;
  bool counted_ = true;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_SERVER_ATTEMPT_H_
