#include "src/node/config_follower.h"

#include <utility>

#include "src/node/control_client.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("config");
constexpr const char* kHeadKey = "config/head";
constexpr std::chrono::milliseconds kPeerTimeout{1000};

}  // namespace

config_follower::config_follower(process_context& context)
    : context_(&context) {}

void config_follower::AddHandlers(internal_server& server) {
  server.AddControl(
      std::string(internal_api::kConfigHead),
      [this](const http_request& request) { return ServeHead(request); });
  server.AddControl(
      std::string(internal_api::kConfigBlob),
      [this](const http_request& request) { return ServeBlob(request); });
}

void config_follower::OnChange(
    std::function<void(const config_view&)> callback) {
  callbacks_.push_back(std::move(callback));
}

std::uint64_t config_follower::in_force() const {
  const auto current = view_.Get();
  return current ? current->generation() : 0;
}

asio::awaitable<result<time_point>> config_follower::ReadStore() {
  const time_point sent = context_->time().Now();
  auto head = co_await context_->store().Get(kHeadKey);
  co_return co_await ApplyHead(std::move(head), sent);
}

asio::awaitable<result<time_point>> config_follower::WatchStore(
    std::chrono::milliseconds wait) {
  const time_point sent = context_->time().Now();
  auto head = co_await context_->store().Watch(kHeadKey, head_version_, wait);
  co_return co_await ApplyHead(std::move(head), sent);
}

asio::awaitable<result<time_point>> config_follower::ApplyHead(
    result<std::optional<stored_object>> head,
    time_point sent) {
  if (!head) {
    co_return Fail(head.error());
  }
  if (!*head) {
    co_return sent;
  }
  head_version_ = (*head)->version;
  blob_source fetch = [this](std::string name) {
    return ReadBlobFromStore(std::move(name));
  };
  auto applied = co_await Apply(std::move((*head)->value), std::move(fetch));
  if (!applied) {
    co_return Fail(applied.error());
  }
  co_return sent;
}

asio::awaitable<result<void>> config_follower::CatchUp(host_address peer,
                                                       std::uint64_t told) {
  if (told <= tracker_.in_force()) {
    co_return result<void>();
  }
  auto head = co_await CallProcess(*context_, peer, "GET",
                                   std::string(internal_api::kConfigHead), "",
                                   kPeerTimeout);
  if (!head) {
    co_return Fail(head.error());
  }
  blob_source fetch =
      [this, peer](std::string name) -> asio::awaitable<result<std::string>> {
    std::string target = std::string(internal_api::kConfigBlob) + name;
    auto blob = co_await CallProcess(*context_, peer, "GET", std::move(target),
                                     "", kPeerTimeout);
    if (!blob) {
      co_return co_await ReadBlobFromStore(std::move(name));
    }
    co_return blob;
  };
  co_return co_await Apply(std::move(*head), std::move(fetch));
}

asio::awaitable<result<std::string>> config_follower::ReadBlobFromStore(
    std::string name) {
  auto blob = co_await context_->store().Get("config/blob/" + name);
  if (!blob) {
    co_return Fail(blob.error());
  }
  if (!*blob) {
    co_return Fail(error_kind::not_found, "no configuration blob " + name);
  }
  co_return std::move((*blob)->value);
}

asio::awaitable<result<void>> config_follower::Apply(std::string head_text,
                                                     blob_source fetch) {
  auto head = config_head::Parse(head_text);
  if (!head) {
    co_return Fail(head.error());
  }
  tracker_.OfferHead(std::move(*head));
  for (const std::string& name : tracker_.MissingBlobs()) {
    auto blob = co_await fetch(name);
    if (!blob) {
      co_return Fail(blob.error());
    }
    result<void> added = tracker_.AddBlob(name, std::move(*blob));
    if (!added) {
      co_return added;
    }
  }
  // Another call may have advanced while this one waited for a blob.
  result<bool> advanced = tracker_.Advance();
  if (!advanced) {
    co_return Fail(advanced.error());
  }
  if (*advanced) {
    auto next = std::make_shared<const config_view>(tracker_.snapshot());
    view_.Set(next);
    context_->metrics()
        .Gauge("cardamomyard_config_generation")
        .Set(static_cast<std::int64_t>(next->generation()));
    kLog.Info("Configuration in force.",
              {{"generation", next->generation()},
               {"author", next->snapshot->head.author}});
    for (const auto& callback : callbacks_) {
      callback(*next);
    }
  }
  co_return result<void>();
}

asio::awaitable<http_response> config_follower::ServeHead(
    const http_request& /*request*/) {
  const auto& snapshot = tracker_.snapshot();
  if (!snapshot) {
    co_return ErrorResponse(
        error::Make(error_kind::not_ready, "no configuration yet"), "");
  }
  co_return JsonResponse(200, snapshot->head.ToJson());
}

asio::awaitable<http_response> config_follower::ServeBlob(
    const http_request& request) {
  const std::string name =
      request.target.substr(internal_api::kConfigBlob.size());
  const auto blob = tracker_.FindBlob(name);
  if (!blob) {
    co_return ErrorResponse(
        error::Make(error_kind::not_found, "no such blob here"), "");
  }
  co_return JsonResponse(200, *blob);
}

}  // namespace cardamomyard
