#include "src/gateway/gossip.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr auto kUseResult = asio::as_tuple(asio::use_awaitable);

}  // namespace

result<std::unique_ptr<gossip>> gossip::Create(asio::io_context& context,
                                               const host_address& listen,
                                               std::vector<host_address> seeds,
                                               peer_table& peers,
                                               const clock& time,
                                               event_callbacks callbacks) {
  udp::socket socket(context);
  boost::system::error_code code;
  const udp::endpoint endpoint(asio::ip::make_address(listen.ip(), code),
                               listen.port());
  if (!code) {
    socket.open(endpoint.protocol(), code);
  }
  if (!code) {
    socket.bind(endpoint, code);
  }
  if (!code) {
    socket.non_blocking(true, code);
  }
  if (code) {
    return Fail(error_kind::internal, "cannot open a UDP socket on " +
                                          listen.ToString() + ": " +
                                          code.message());
  }
  return std::unique_ptr<gossip>(new gossip(std::move(socket), std::move(seeds),
                                            peers, time, std::move(callbacks)));
}

gossip::gossip(udp::socket socket,
               std::vector<host_address> seeds,
               peer_table& peers,
               const clock& time,
               event_callbacks callbacks)
    : socket_(std::move(socket)),
      send_timer_(socket_.get_executor()),
      seeds_(std::move(seeds)),
      peers_(&peers),
      clock_(&time),
      callbacks_(std::move(callbacks)),
      last_sent_(time.Now()) {}

void gossip::Start() {
  asio::co_spawn(socket_.get_executor(), RunReceiveLoop(), kEndOnException);
  asio::co_spawn(socket_.get_executor(), RunSendLoop(), kEndOnException);
}

void gossip::NotifyChanged() {
  if (!changed_) {
    changed_ = true;
    send_timer_.cancel();
  }
}

asio::awaitable<void> gossip::RunReceiveLoop() {
  udp::endpoint from;
  while (true) {
    auto [code, bytes] = co_await socket_.async_receive_from(
        asio::buffer(buffer_), from, kUseResult);
    if (code) {
      // Sending to a closed port of a peer is reported here as a refused
      // connection.
      continue;
    }
    const auto digest =
        Decode<load_digest>(std::string_view(buffer_.data(), bytes));
    if (!digest) {
      log_.Warning("A datagram cannot be decoded as a digest.",
                   {{"from", from.address().to_string()},
                    {"reason", digest.error().message()}});
      continue;
    }
    const auto sender =
        host_address::Make(from.address().to_string(), from.port());
    const peer_state* previous = peers_->Find(digest->host);
    const bool was_live = previous && peers_->IsLive(*previous, clock_->Now());
    if (!peers_->Receive(*digest, sender, clock_->Now())) {
      continue;
    }
    if (!was_live) {
      log_.Info("A peer is heard.", {{"peer", digest->host},
                                     {"incarnation", digest->incarnation},
                                     {"sequence", digest->sequence}});
    }
    callbacks_.on_digest(*digest);
  }
}

asio::awaitable<void> gossip::RunSendLoop() {
  while (true) {
    const std::chrono::milliseconds interval = peers_->DigestInterval();
    const time_point due =
        last_sent_ + (changed_
                          ? interval
                          : std::max(interval, peer_table::kHeartbeatInterval));
    const time_point now = clock_->Now();
    if (now < due) {
      send_timer_.expires_after(due - now);
      // NotifyChanged() ends the wait early; the next digest is then due
      // sooner.
      co_await send_timer_.async_wait(kUseResult);
      continue;
    }
    SendDigest();
    const time_point sent = clock_->Now();
    for (const std::string& peer : peers_->TakeNewlyTimedOut(sent)) {
      log_.Warning("A peer is silent.", {{"peer", peer}});
      callbacks_.on_peer_silent(peer);
    }
    peers_->RemoveLost(sent);
  }
}

void gossip::SendDigest() {
  changed_ = false;
  last_sent_ = clock_->Now();
  load_digest digest;
  callbacks_.fill_digest(digest);
  digest.sequence = ++sequence_;
  const std::string bytes = Encode(digest);
  for (const auto& [name, peer] : peers_->peers()) {
    SendTo(peer.host.address, bytes);
  }
  for (const host_address& seed : seeds_) {
    const bool known = std::any_of(
        peers_->peers().begin(), peers_->peers().end(),
        [&seed](const auto& p) { return p.second.host.address == seed; });
    if (!known && seed.ToString() != digest.address) {
      SendTo(seed, bytes);
    }
  }
}

void gossip::SendTo(const host_address& address, const std::string& bytes) {
  boost::system::error_code ignored;
  const auto ip = asio::ip::make_address(address.ip(), ignored);
  // Send errors are ignored: the next digest replaces a lost datagram.
  socket_.send_to(asio::buffer(bytes), udp::endpoint(ip, address.port()), 0,
                  ignored);
}

}  // namespace cardamomyard
