#ifndef CARDAMOMYARD_GATEWAY_RELAYED_STORE_H_
#define CARDAMOMYARD_GATEWAY_RELAYED_STORE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief A store whose calls are relayed through a peer while the store
/// refuses this host but still answers the peer.
///
/// Listings and watches are not relayed; a host without store contact gets the
/// records from the inventory of a peer.
class relayed_store final : public object_store {
 public:
  /// \param direct  the client that calls the store without a peer.
  relayed_store(std::unique_ptr<object_store> direct,
                const clock& time,
                http_client& http);

  /// Sets the peers that are in contact with the store, in order of preference.
  /// Thread-safe.
  void SetPeers(std::vector<host_address> peers);

  std::size_t max_value_bytes() const override {
    return direct_->max_value_bytes();
  }
  std::size_t EncodedSize(const std::string& value) const override {
    return direct_->EncodedSize(value);
  }
  boost::asio::awaitable<result<std::optional<store_record>>> Get(
      std::string kind,
      std::string name) override;
  boost::asio::awaitable<result<store_snapshot>> List(
      std::string kind,
      read_freshness freshness) override;
  boost::asio::awaitable<result<store_changes>> Watch(
      std::string kind,
      std::uint64_t revision,
      watch_options options) override;
  boost::asio::awaitable<result<store_record>>
  Create(std::string kind, std::string name, std::string value) override;
  boost::asio::awaitable<result<store_record>> Replace(
      std::string kind,
      std::string name,
      std::string value,
      std::uint64_t revision) override;
  boost::asio::awaitable<result<void>> SetStatus(std::string kind,
                                                 std::string name,
                                                 std::string status) override;
  boost::asio::awaitable<result<void>> Remove(std::string kind,
                                              std::string name) override;

  /// Executes a call on behalf of a peer, directly at the store.
  boost::asio::awaitable<store_reply> Serve(store_call call);

 private:
  /// Calls the store, and then a peer if the call certainly had no effect or is
  /// a read.
  boost::asio::awaitable<store_reply> Call(store_call call);
  boost::asio::awaitable<std::optional<store_reply>> CallPeer(
      const store_call& call);
  std::vector<host_address> Peers();

  std::unique_ptr<object_store> direct_;
  const clock* clock_;
  http_client* http_;
  part_log log_{"store"};
  std::mutex mutex_;
  std::vector<host_address> peers_;
  /// Time until which calls go to a peer first, in nanoseconds of the clock.
  std::atomic<duration::rep> relay_until_{0};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_RELAYED_STORE_H_
