#include "src/node/sidecar/heartbeat_sender.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/control_client.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr std::chrono::seconds kHeartbeatInterval{1};
constexpr std::chrono::milliseconds kReplyTimeout{1000};
// An entry host named by another entry host is removed when it has not replied
// for this long. Entry hosts named in the settings are kept.
constexpr std::chrono::seconds kMaxSilence{30};

}  // namespace

heartbeat_sender::heartbeat_sender(
    process_context& context,
    std::function<heartbeat()> describe,
    std::function<void(const host_address&, const heartbeat_reply&)> on_reply)
    : context_(&context),
      describe_(std::move(describe)),
      on_reply_(std::move(on_reply)),
      timer_(context.control()) {
  for (const host_address& peer : context.settings().peers) {
    targets_.emplace(peer.ToString(), target{peer, time_point::max()});
  }
}

asio::awaitable<void> heartbeat_sender::Run() {
  while (true) {
    RemoveSilentHosts();
    const heartbeat message = describe_();
    for (const auto& [name, peer] : targets_) {
      asio::co_spawn(context_->control(), SendTo(peer.address, message),
                     kEndOnException);
    }
    timer_.expires_after(kHeartbeatInterval);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> heartbeat_sender::SendToAll() {
  const heartbeat message = describe_();
  std::vector<host_address> addresses;
  for (const auto& [name, peer] : targets_) {
    addresses.push_back(peer.address);
  }
  for (const host_address& address : addresses) {
    co_await SendTo(address, message);
  }
}

void heartbeat_sender::TriggerSend() {
  asio::post(context_->control(), [this] { timer_.cancel(); });
}

asio::awaitable<void> heartbeat_sender::SendTo(host_address address,
                                               heartbeat message) {
  const std::string name = address.ToString();
  if (const auto known = targets_.find(name); known != targets_.end()) {
    message.answers_reply_time_us = known->second.reply_time_us;
    message.answers_incarnation = known->second.incarnation;
  }
  auto reply = co_await CallControl<heartbeat_reply>(
      *context_, address, internal_api::kHeartbeat, message, kReplyTimeout);
  if (!reply) {
    co_return;
  }
  const auto found = targets_.find(name);
  if (found != targets_.end()) {
    if (found->second.last_heard != time_point::max()) {
      found->second.last_heard = context_->time().Now();
    }
    found->second.reply_time_us = reply->reply_time_us;
    found->second.incarnation = reply->incarnation;
  }
  AddEntryHosts(*reply);
  on_reply_(address, *reply);
}

void heartbeat_sender::AddEntryHosts(const heartbeat_reply& reply) {
  for (const peer_host& host : reply.hosts) {
    result<host_address> address = host_address::Parse(host.address);
    if (address) {
      targets_.emplace(host.address, target{*address, context_->time().Now()});
    }
  }
}

void heartbeat_sender::RemoveSilentHosts() {
  const time_point now = context_->time().Now();
  std::erase_if(targets_, [now](const auto& item) {
    return item.second.last_heard != time_point::max() &&
           now - item.second.last_heard > kMaxSilence;
  });
}

}  // namespace cardamomyard
