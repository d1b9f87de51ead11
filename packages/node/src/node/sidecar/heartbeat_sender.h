#ifndef CARDAMOMYARD_NODE_SIDECAR_HEARTBEAT_SENDER_H_
#define CARDAMOMYARD_NODE_SIDECAR_HEARTBEAT_SENDER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cardamomyard/wire.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Sends the state of a sidecar to the entry hosts once a second and at
/// every change that the entry hosts must learn without delay.
class heartbeat_sender {
 public:
  /// \param describe  builds the heartbeat to send.
  /// \param on_reply  called on the control thread with each reply and the
  /// address it came from.
  heartbeat_sender(process_context& context,
                   std::function<heartbeat()> describe,
                   std::function<void(const host_address&,
                                      const heartbeat_reply&)> on_reply);

  /// Sends until the process stops. Runs on the control thread.
  boost::asio::awaitable<void> Run();
  /// Sends to every entry host once and waits for the replies.
  boost::asio::awaitable<void> SendToAll();
  /// Ends the wait for the next heartbeat early. Callable from any thread.
  void TriggerSend();

 private:
  struct target {
    host_address address;
    time_point last_heard;
    std::int64_t reply_time_us = 0;
    std::int64_t incarnation = 0;
  };

  boost::asio::awaitable<void> SendTo(host_address address, heartbeat message);
  void AddEntryHosts(const heartbeat_reply& reply);
  void RemoveSilentHosts();

  process_context* context_;
  std::function<heartbeat()> describe_;
  std::function<void(const host_address&, const heartbeat_reply&)> on_reply_;
  boost::asio::steady_timer timer_;
  std::map<std::string, target> targets_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_HEARTBEAT_SENDER_H_
