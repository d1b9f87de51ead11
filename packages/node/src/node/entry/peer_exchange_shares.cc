// The part of peer_exchange about the share table and loans.
#include <algorithm>
#include <utility>

#include "src/node/control_client.h"
#include "src/node/entry/peer_exchange.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

using std::chrono::milliseconds;

}  // namespace

void peer_exchange::OnTable(const share_table& table, table_origin origin) {
  shares_.SetTable(table, origin);
  // A host in a later table than the one of the promise was not removed.
  std::erase_if(removal_promises_, [&](const auto& promise) {
    const bool resume =
        table.epoch > promise.second &&
        std::ranges::find(table.hosts, promise.first) != table.hosts.end();
    if (resume) {
      monitor_.ResumeEvidenceFor(promise.first);
    }
    return resume;
  });
  UpdateKnownPeers();
  AnnounceOnControlThread();
}

bool peer_exchange::AgreeToRemove(const std::string& candidate) {
  const auto& hosts = table_.table().hosts;
  if (std::ranges::find(hosts, candidate) == hosts.end() ||
      !keeper_.IsLost(candidate)) {
    return false;
  }
  monitor_.StopEvidenceFor(candidate);
  removal_promises_[candidate] = table_.epoch();
  return true;
}

void peer_exchange::AskToRemove(const std::string& candidate) {
  if (AgreeToRemove(candidate)) {
    keeper_.RecordAgreement(context_->settings().id, candidate, table_.epoch());
  }
  std::vector<entry_host> others = peers_.Peers();
  std::erase_if(others,
                [&](const entry_host& peer) { return peer.id == candidate; });
  SendDigests(others, candidate);
}

asio::awaitable<http_response> peer_exchange::ServeBorrow(
    const http_request& request) {
  auto message = Decode<borrow>(request.body);
  if (!message) {
    co_return ErrorResponse(message.error(), "");
  }
  shares_.RecordAcknowledgement(
      message->borrower, static_cast<std::uint64_t>(message->generation),
      static_cast<std::uint64_t>(message->share_epoch));
  borrow_reply reply =
      std::visit([&message](auto& gate) { return gate.Lend(*message); }, gate_);
  reply.generation = static_cast<std::int64_t>(config_->in_force());
  reply.share_epoch = static_cast<std::int64_t>(table_.epoch());
  http_response answer;
  answer.body = Encode(reply);
  co_return answer;
}

asio::awaitable<result<borrow_reply>> peer_exchange::BorrowFromHome(
    std::string home,
    borrow message,
    milliseconds timeout) {
  const auto addresses = addresses_.Get();
  const auto found = addresses
                         ? addresses->find(home)
                         : std::map<std::string, std::string>::const_iterator();
  if (!addresses || found == addresses->end()) {
    co_return Fail(error_kind::not_found, "no known address of host " + home);
  }
  auto address = host_address::Parse(found->second);
  if (!address) {
    co_return Fail(address.error());
  }
  message.generation = static_cast<std::int64_t>(config_->in_force());
  message.share_epoch = static_cast<std::int64_t>(table_.epoch());
  co_return co_await CallControl<borrow_reply>(
      *context_, *address, internal_api::kBorrow, message, timeout);
}

}  // namespace cardamomyard
