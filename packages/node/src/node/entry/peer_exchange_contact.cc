// The part of peer_exchange about contact with the store: which peers give
// evidence, heartbeats of sidecars, and the replies to them.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/entry/peer_exchange.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

using std::chrono::milliseconds;

constexpr part_log kLog("peers");
constexpr std::size_t kMaxHostsInReply = 64;
constexpr std::chrono::seconds kMaxSilence{30};

std::int64_t Microseconds(time_point at) {
  return std::chrono::floor<std::chrono::microseconds>(at.time_since_epoch())
      .count();
}

}  // namespace

std::string_view ToString(contact_state state) {
  switch (state) {
    case contact_state::store_contact:
      return "store_contact";
    case contact_state::relayed_contact:
      return "relayed_contact";
    case contact_state::outage:
      return "outage";
    case contact_state::isolated:
      break;
  }
  return "isolated";
}

// Only hosts of the table can remove this one from it, so their majority
// counts as evidence of an outage; without other entry hosts, that of the
// sidecars does.
void peer_exchange::UpdateKnownPeers() {
  std::set<std::string> known(table_.table().hosts.begin(),
                              table_.table().hosts.end());
  std::map<std::string, std::string> addresses;
  for (const entry_host& peer : peers_.Peers()) {
    addresses.emplace(peer.id, peer.address);
    if (table_.epoch() == 0) {
      known.insert(peer.id);
    }
  }
  known.erase(context_->settings().id);
  const time_point now = context_->time().Now();
  std::erase_if(sidecars_, [now](const auto& sidecar) {
    return now - sidecar.second > kMaxSilence;
  });
  if (known.empty()) {
    for (const auto& [id, heard] : sidecars_) {
      known.insert(id);
    }
  }
  monitor_.SetKnownPeers(std::move(known));
  addresses_.Set(std::make_shared<const std::map<std::string, std::string>>(
      std::move(addresses)));
}

void peer_exchange::UpdateContact() {
  const time_point now = context_->time().Now();
  const time_point until = monitor_.ContactUntil(now);
  if (until > now) {
    shares_.limiter().SetContact(until, now);
    contact_until_ = until;
  }
  const contact_state state = monitor_.State(now);
  state_ = state;
  if (logged_state_ == state) {
    return;
  }
  kLog.Info("The contact state changed.", {{"state", ToString(state)}});
  for (const contact_state each :
       {contact_state::store_contact, contact_state::relayed_contact,
        contact_state::outage, contact_state::isolated}) {
    context_->metrics()
        .Gauge("cardamomyard_contact", {{"state", std::string(ToString(each))}})
        .Set(each == state ? 1 : 0);
  }
  logged_state_ = state;
}

void peer_exchange::OnHeartbeat(const heartbeat& message) {
  const time_point now = context_->time().Now();
  sidecars_[message.id] = now;
  const time_point sent{
      std::chrono::microseconds(message.answers_reply_time_us)};
  const bool dated =
      message.answers_incarnation == context_->incarnation() && sent <= now;
  if (dated && catching_up_.insert(message.id).second) {
    asio::co_spawn(context_->control(), RecordHeartbeatEvidence(message, sent),
                   kEndOnException);
  }
}

asio::awaitable<void> peer_exchange::RecordHeartbeatEvidence(heartbeat message,
                                                             time_point sent) {
  const auto address = host_address::Parse(message.address);
  bool caught_up_now = false;
  if (address) {
    caught_up_now = co_await CatchUp(
        *address, static_cast<std::uint64_t>(message.generation),
        static_cast<std::uint64_t>(message.share_epoch));
  }
  catching_up_.erase(message.id);
  const bool recent =
      message.store_contact_age &&
      *message.store_contact_age <= context_->settings().contact_window;
  if (!caught_up_now || (!recent && !message.store_unreachable)) {
    co_return;
  }
  if (recent) {
    monitor_.RecordRelayedRead(sent - *message.store_contact_age);
  }
  attestation statement;
  statement.store_contact_age = message.store_contact_age;
  statement.store_unreachable = message.store_unreachable;
  monitor_.RecordAttestation(message.id, statement, sent);
  UpdateContact();
}

// A read relayed by a peer counts like a read by this host: sidecars read the
// store for an entry host only when it has no contact through its peers.
event_age peer_exchange::ContactAge(time_point now) const {
  const contact_state state = state_;
  if (state != contact_state::store_contact &&
      state != contact_state::relayed_contact) {
    return store_.Age(now);
  }
  const duration left = contact_until_.load() - now;
  return std::chrono::ceil<milliseconds>(
      std::max(duration(0), context_->settings().contact_window - left));
}

void peer_exchange::FillReply(const heartbeat& message,
                              heartbeat_reply& reply) {
  const time_point now = context_->time().Now();
  reply.share_epoch = static_cast<std::int64_t>(table_.epoch());
  reply.store_contact_age = ContactAge(now);
  reply.reply_time_us = Microseconds(now);
  reply.incarnation = context_->incarnation();
  std::map<std::string, entry_host> live;
  std::vector<std::string> ids;
  for (const entry_host& peer : peers_.Peers()) {
    if (peer.last_heard > now - kMaxSilence) {
      ids.push_back(peer.id);
      live.emplace(peer.id, peer);
    }
  }
  for (const std::string& id :
       RendezvousTop(ids, message.id, kMaxHostsInReply)) {
    const entry_host& peer = live.at(id);
    reply.hosts.push_back({id, peer.address,
                           std::chrono::ceil<milliseconds>(
                               std::max(duration(0), now - peer.last_heard))});
  }
}

}  // namespace cardamomyard
