#include "src/gateway/relayed_store.h"

#include <utility>

#include "src/gateway/internal_paths.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

// How long after a failed call the next calls go to a peer before the store is
// tried directly again. Followers of the store detect its return independently.
constexpr std::chrono::milliseconds kRelayPeriod{700};
constexpr std::chrono::milliseconds kPeerConnectTimeout{200};
// Covers the peer's call to the store and the round trip to the peer.
constexpr std::chrono::milliseconds kPeerResponseTimeout{1200};
// A store that answers neither this host nor two peers is considered down.
constexpr std::size_t kMaxPeers = 2;

store_reply MakeFailureReply(const error& cause) {
  store_reply reply;
  reply.failure = ToString(cause.kind());
  reply.ran = ToString(cause.ran());
  reply.reason = cause.message();
  return reply;
}

store_reply MakeRecordReply(const store_record& record) {
  store_reply reply;
  reply.found = true;
  reply.value = record.value;
  reply.revision = static_cast<std::int64_t>(record.revision);
  return reply;
}

error ToError(const store_reply& reply) {
  const auto kind = ParseErrorKind(reply.failure);
  return error::Make(kind.value_or(error_kind::store_unavailable), reply.reason)
      .WithOutcome(ParseOutcome(reply.ran).value_or(outcome::may_have_run));
}

result<store_record> ToRecord(const store_reply& reply, std::string name) {
  if (!reply.failure.empty()) {
    return Fail(ToError(reply));
  }
  return store_record{std::move(name), reply.value,
                      static_cast<std::uint64_t>(reply.revision)};
}

result<void> ToResult(const store_reply& reply) {
  if (!reply.failure.empty()) {
    return Fail(ToError(reply));
  }
  return {};
}

bool IsStoreUnavailable(const store_reply& reply) {
  return reply.failure == ToString(error_kind::store_unavailable);
}

}  // namespace

relayed_store::relayed_store(std::unique_ptr<object_store> direct,
                             const clock& time,
                             http_client& http)
    : direct_(std::move(direct)), clock_(&time), http_(&http) {}

void relayed_store::SetPeers(std::vector<host_address> peers) {
  const std::lock_guard lock(mutex_);
  peers_ = std::move(peers);
}

std::vector<host_address> relayed_store::Peers() {
  const std::lock_guard lock(mutex_);
  return peers_;
}

asio::awaitable<store_reply> relayed_store::Serve(store_call call) {
  switch (call.operation) {
    case store_operation::get: {
      const auto found = co_await direct_->Get(call.kind, call.name);
      if (!found) {
        co_return MakeFailureReply(found.error());
      }
      if (!*found) {
        co_return store_reply{};
      }
      co_return MakeRecordReply(**found);
    }
    case store_operation::create: {
      const auto written =
          co_await direct_->Create(call.kind, call.name, call.value);
      co_return written ? MakeRecordReply(*written)
                        : MakeFailureReply(written.error());
    }
    case store_operation::replace: {
      const auto written =
          co_await direct_->Replace(call.kind, call.name, call.value,
                                    static_cast<std::uint64_t>(call.revision));
      co_return written ? MakeRecordReply(*written)
                        : MakeFailureReply(written.error());
    }
    case store_operation::remove: {
      const auto removed = co_await direct_->Remove(call.kind, call.name);
      co_return removed ? store_reply{} : MakeFailureReply(removed.error());
    }
    case store_operation::set_status: {
      const auto updated =
          co_await direct_->SetStatus(call.kind, call.name, call.value);
      co_return updated ? store_reply{} : MakeFailureReply(updated.error());
    }
  }
  co_return MakeFailureReply(
      error::Make(error_kind::invalid_request, "unknown store operation"));
}

asio::awaitable<std::optional<store_reply>> relayed_store::CallPeer(
    const store_call& call) {
  std::size_t tried = 0;
  for (const host_address& peer : Peers()) {
    if (++tried > kMaxPeers) {
      break;
    }
    http_request request;
    request.method = "POST";
    request.target = kStorePath;
    request.body = Encode(call);
    call_options options;
    options.connect_timeout = kPeerConnectTimeout;
    options.head_timeout = kPeerResponseTimeout;
    options.idle_timeout = kPeerResponseTimeout;
    options.reuse_connection = true;
    options.resend_on_stale = call.operation == store_operation::get;
    const auto response =
        co_await http_->Fetch(peer, std::move(request), options);
    if (!response) {
      log_.Warning("A peer did not relay a store call.",
                   {{"peer", peer.ToString()},
                    {"kind", call.kind},
                    {"name", call.name},
                    {"reason", response.error().message()}});
      if (response.error().ran() != outcome::not_run &&
          call.operation != store_operation::get) {
        co_return MakeFailureReply(error::Make(error_kind::store_unavailable,
                                               response.error().message())
                                       .WithOutcome(outcome::may_have_run));
      }
      continue;
    }
    auto reply = Decode<store_reply>(response->body);
    if (!reply) {
      log_.Warning("The reply of a peer to a store call cannot be parsed.",
                   {{"peer", peer.ToString()},
                    {"status", response->status},
                    {"reason", reply.error().message()}});
      if (call.operation != store_operation::get) {
        // The peer may have made the call, so no other may repeat it.
        co_return MakeFailureReply(
            error::Make(error_kind::store_unavailable, reply.error().message())
                .WithOutcome(outcome::may_have_run));
      }
      continue;
    }
    if (!IsStoreUnavailable(*reply) ||
        reply->ran != ToString(outcome::not_run)) {
      co_return std::move(*reply);
    }
  }
  co_return std::nullopt;
}

asio::awaitable<store_reply> relayed_store::Call(store_call call) {
  const auto now = clock_->Now().time_since_epoch().count();
  if (now < relay_until_) {
    if (auto relayed = co_await CallPeer(call)) {
      co_return std::move(*relayed);
    }
  }
  store_reply reply = co_await Serve(call);
  if (!IsStoreUnavailable(reply)) {
    relay_until_ = 0;
    co_return reply;
  }
  const bool may_repeat = reply.ran == ToString(outcome::not_run) ||
                          call.operation == store_operation::get;
  if (now >= relay_until_ && may_repeat) {
    relay_until_ = (clock_->Now() + kRelayPeriod).time_since_epoch().count();
    if (auto relayed = co_await CallPeer(call)) {
      co_return std::move(*relayed);
    }
  }
  co_return reply;
}

asio::awaitable<result<std::optional<store_record>>> relayed_store::Get(
    std::string kind,
    std::string name) {
  store_call call{store_operation::get, std::move(kind), name, "", 0};
  const store_reply reply = co_await Call(std::move(call));
  if (!reply.failure.empty()) {
    co_return Fail(ToError(reply));
  }
  if (!reply.found) {
    co_return std::optional<store_record>();
  }
  co_return std::optional<store_record>(*ToRecord(reply, std::move(name)));
}

asio::awaitable<result<store_snapshot>> relayed_store::List(
    std::string kind,
    read_freshness freshness) {
  return direct_->List(std::move(kind), freshness);
}

asio::awaitable<result<store_changes>> relayed_store::Watch(
    std::string kind,
    std::uint64_t revision,
    watch_options options) {
  return direct_->Watch(std::move(kind), revision, std::move(options));
}

asio::awaitable<result<store_record>> relayed_store::Create(std::string kind,
                                                            std::string name,
                                                            std::string value) {
  store_call call{store_operation::create, std::move(kind), name,
                  std::move(value), 0};
  const store_reply reply = co_await Call(std::move(call));
  co_return ToRecord(reply, std::move(name));
}

asio::awaitable<result<store_record>> relayed_store::Replace(
    std::string kind,
    std::string name,
    std::string value,
    std::uint64_t revision) {
  store_call call{store_operation::replace, std::move(kind), name,
                  std::move(value), static_cast<std::int64_t>(revision)};
  const store_reply reply = co_await Call(std::move(call));
  co_return ToRecord(reply, std::move(name));
}

asio::awaitable<result<void>> relayed_store::SetStatus(std::string kind,
                                                       std::string name,
                                                       std::string status) {
  store_call call{store_operation::set_status, std::move(kind), std::move(name),
                  std::move(status), 0};
  co_return ToResult(co_await Call(std::move(call)));
}

asio::awaitable<result<void>> relayed_store::Remove(std::string kind,
                                                    std::string name) {
  store_call call{store_operation::remove, std::move(kind), std::move(name), "",
                  0};
  co_return ToResult(co_await Call(std::move(call)));
}

}  // namespace cardamomyard
