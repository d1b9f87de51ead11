#ifndef CARDAMOMYARD_NODE_ANSWER_RELAY_H_
#define CARDAMOMYARD_NODE_ANSWER_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief How an answer is relayed.
struct relay_options {
  std::string request_id;
  /// Echoed to an entry host; empty when the answer goes to a caller.
  std::string exchange_id;
  /// Asked when the head is sent to an entry host: the incarnation of this
  /// sidecar if it drains, otherwise empty.
  std::function<std::string()> leaving;
  /// Longest time without an event of a stream. Comments and bytes that
  /// complete no event do not count.
  std::chrono::milliseconds event_timeout{600'000};
  /// Called for every piece of a stream and at least every half second. An
  /// error ends the stream with an error event and cancels the request at the
  /// server.
  std::function<std::optional<error>()> check;
  /// Called with every piece before it is sent.
  std::function<void(const std::string&)> observe;
  /// Called after the whole answer was read, even if sending it fails.
  std::function<void()> observe_end;
};

/// \brief The outcome of relaying an answer.
struct relay_report {
  /// The whole answer was read and sent.
  bool complete = false;
  /// A byte of an answer may have reached the caller.
  bool started = false;
  /// Why the answer is not complete. When `started` is false, the caller has
  /// received nothing and can still get another answer.
  std::optional<error> failure;
};

/// \brief Relays the answer of a server to a caller.
///
/// A stream is complete only if its HTTP message ended properly and, for
/// server-sent events, contained `[DONE]`. After a truncated stream the caller
/// gets an error event and a connection that closes without the end of the
/// message, so that the stream never looks complete.
boost::asio::awaitable<relay_report> RelayAnswer(http_call& from,
                                                 http_exchange& to,
                                                 relay_options options);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ANSWER_RELAY_H_
