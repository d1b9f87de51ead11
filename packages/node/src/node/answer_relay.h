#ifndef CARDAMOMYARD_NODE_ANSWER_RELAY_H_
#define CARDAMOMYARD_NODE_ANSWER_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief How an answer is passed on.
struct relay_options {
  std::string request_id;
  /// Echoed to an entry host; empty towards callers.
  std::string exchange_id;
  /// Called on every piece and at least each half second. A failure ends the
  /// stream with an error event and cancels the request at the server.
  std::function<std::optional<error>()> check;
  /// Called with every piece before it is sent.
  std::function<void(const std::string&)> observe;
  /// Called when the whole answer was read, also when sending it fails.
  std::function<void()> observe_end;
};

/// \brief What became of a relayed answer.
struct relay_report {
  /// The whole answer was read and sent.
  bool complete = false;
  /// A byte of an answer may have reached the caller.
  bool started = false;
  /// Why the answer is not complete. When nothing was started, the caller has
  /// no answer yet.
  std::optional<error> failure;
};

/// \brief Passes the answer of a server on to a caller.
///
/// A stream counts as complete only when its HTTP message ended properly and,
/// for server-sent events, `[DONE]` was seen. A cut stream gets an error event
/// and a closed connection without the end of the message, so that it never
/// looks finished.
boost::asio::awaitable<relay_report> RelayAnswer(http_call& from,
                                                 http_exchange& to,
                                                 relay_options options);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ANSWER_RELAY_H_
