#ifndef CARDAMOMYARD_GATEWAY_GOSSIP_H_
#define CARDAMOMYARD_GATEWAY_GOSSIP_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/net.h"
#include "cardamomyard/telemetry.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief Exchanges load digests with the peers over UDP. Used on the traffic
/// thread only.
///
/// A digest is sent soon after a change, so that hosts know each other's
/// placements before the next request of a burst, and otherwise periodically as
/// a heartbeat.
class gossip {
 public:
  struct event_callbacks {
    /// Fills in the current state of this host.
    std::function<void(load_digest&)> fill_digest;
    /// Called with each new digest of a peer.
    std::function<void(const load_digest&)> on_digest;
    /// Called once when no digest of a peer has arrived for too long.
    std::function<void(const std::string& peer)> on_peer_silent;
  };

  /// Binds \p listen and creates an idle instance.
  static result<std::unique_ptr<gossip>> Create(
      boost::asio::io_context& context,
      const host_address& listen,
      std::vector<host_address> seeds,
      peer_table& peers,
      const clock& time,
      event_callbacks callbacks);

  void Start();
  /// Requests that a digest be sent soon, because state in it has changed.
  void NotifyChanged();

 private:
  gossip(boost::asio::ip::udp::socket socket,
         std::vector<host_address> seeds,
         peer_table& peers,
         const clock& time,
         event_callbacks callbacks);
  boost::asio::awaitable<void> RunReceiveLoop();
  boost::asio::awaitable<void> RunSendLoop();
  void SendDigest();
  void SendTo(const host_address& address, const std::string& bytes);

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer send_timer_;
  std::vector<host_address> seeds_;
  peer_table* peers_;
  const clock* clock_;
  event_callbacks callbacks_;
  part_log log_{"gossip"};
  bool changed_ = false;
  std::int64_t sequence_ = 0;
  time_point last_sent_;
  std::array<char, 64 * 1024> buffer_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_GOSSIP_H_
