#ifndef CARDAMOMYARD_NODE_ENTRY_PEER_EXCHANGE_H_
#define CARDAMOMYARD_NODE_ENTRY_PEER_EXCHANGE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cardamomyard/membership.h"
#include "cardamomyard/wire.h"
#include "src/node/cancelled_jobs.h"
#include "src/node/config_follower.h"
#include "src/node/entry/fixed_split_gate.h"
#include "src/node/entry/rate_gate.h"
#include "src/node/entry/share_keeper.h"
#include "src/node/entry/suspect_registry.h"
#include "src/node/entry/table_keeper.h"
#include "src/node/host_list_client.h"
#include "src/node/internal_server.h"
#include "src/node/share_table_follower.h"
#include "src/node/store_contact.h"

namespace cardamomyard {

/// \brief Coordinates the entry hosts: gossip of digests, evidence of contact,
/// configuration, share table and loans.
///
/// Runs on the control thread; functions marked "any thread" are safe
/// elsewhere.
class peer_exchange {
 public:
  peer_exchange(process_context& context,
                config_follower& config,
                cancelled_jobs& cancelled,
                suspect_registry& suspects);

  void AddHandlers(internal_server& server);
  /// Starts the loops; the internal server must be bound.
  void Start();
  void OnHostList(const std::vector<listed_host>& hosts);
  void OnHeartbeat(const heartbeat& message);
  /// Adds this host's contact, share epoch and known entry hosts.
  void FillReply(const heartbeat& message, heartbeat_reply& reply);

  /// Sends a digest to 4 random peers at once, for instance after a job was
  /// cancelled. Any thread.
  void Announce();
  /// Takes a token of a client account or open route. Any thread.
  boost::asio::awaitable<result<void>> TakeToken(std::string account);
  /// \returns why requests with a key are refused, or nothing. Any thread.
  std::optional<error> Refusal() const;
  /// \returns whether configuration and share table are known. Any thread.
  bool ready() const;
  /// \returns the epoch of the share table, 0 before the first. Any thread.
  std::uint64_t share_epoch() const { return table_.epoch(); }
  contact_state State() const;
  /// \returns the other entry hosts, for operators. Any thread.
  std::vector<peer_host> KnownHosts() const;
  account_limiter& limiter() { return shares_.limiter(); }

 private:
  std::variant<rate_gate, fixed_split_gate> MakeGate();
  boost::asio::awaitable<http_response> ServeDigest(
      const http_request& request);
  boost::asio::awaitable<http_response> ServeBorrow(
      const http_request& request);
  boost::asio::awaitable<void> Gossip();
  boost::asio::awaitable<void> PollStore();
  boost::asio::awaitable<void> WatchConfig();
  boost::asio::awaitable<void> SendDigest(host_address to,
                                          std::string candidate);
  boost::asio::awaitable<result<borrow_reply>> BorrowFromHome(
      std::string home,
      borrow message,
      std::chrono::milliseconds timeout);
  boost::asio::awaitable<bool> CatchUp(host_address with,
                                       std::uint64_t generation,
                                       std::uint64_t epoch);
  boost::asio::awaitable<void> HandleDigestReply(host_address from,
                                                 peer_digest answer,
                                                 std::string candidate,
                                                 time_point sent);
  boost::asio::awaitable<void> RecordHeartbeatEvidence(heartbeat message,
                                                       time_point sent);

  event_age ContactAge(time_point now) const;
  void AnnounceOnControlThread();
  void SendDigests(const std::vector<entry_host>& to,
                   const std::string& candidate);
  void SendToUnknownPeers();
  void AskToRemove(const std::string& candidate);
  bool AgreeToRemove(const std::string& candidate);
  peer_digest MakeDigest();
  bool MergeDigest(const peer_digest& digest, time_point base);
  void OnTable(const share_table& table, table_origin origin);
  void UpdateKnownPeers();
  void UpdateContact();
  void RemoveSilentHosts();

  process_context* context_;
  config_follower* config_;
  cancelled_jobs* cancelled_;
  suspect_registry* suspects_;
  share_table_follower table_;
  share_keeper shares_;
  host_view peers_;
  contact_monitor monitor_;
  store_contact store_;
  table_keeper keeper_;
  std::variant<rate_gate, fixed_split_gate> gate_;
  std::mt19937_64 random_;
  std::set<std::string> unknown_peers_;  // addresses without a known id
  std::set<std::string> listed_;
  std::map<std::string, std::uint64_t> removal_promises_;  // host to epoch
  std::map<std::string, time_point> sidecars_;
  std::set<std::string> catching_up_;
  std::optional<contact_state> logged_state_;
  published<std::map<std::string, std::string>> addresses_;
  std::atomic<time_point> contact_until_{time_point::min()};
  std::atomic<contact_state> state_{contact_state::isolated};
};

/// \returns the name used in logs, metrics and answers.
std::string_view ToString(contact_state state);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_PEER_EXCHANGE_H_
