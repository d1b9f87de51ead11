#include "src/node/share_table_follower.h"

#include <boost/json.hpp>
#include <utility>

#include "src/node/control_client.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr part_log kLog("limits");
constexpr const char* kTableKey = "limits/table";
constexpr std::chrono::milliseconds kPeerTimeout{1000};
constexpr std::chrono::seconds kFreshFor{4};

std::string ToJson(const share_table& table, const std::string& nonce) {
  json::array hosts;
  for (const std::string& host : table.hosts) {
    hosts.emplace_back(host);
  }
  return json::serialize(json::object{
      {"epoch", table.epoch}, {"hosts", std::move(hosts)}, {"nonce", nonce}});
}

result<share_table> ParseTable(const std::string& text) {
  boost::system::error_code code;
  const json::value body = json::parse(text, code);
  const json::object* fields = code ? nullptr : body.if_object();
  const json::value* epoch = fields ? fields->if_contains("epoch") : nullptr;
  const json::value* hosts = fields ? fields->if_contains("hosts") : nullptr;
  if (epoch == nullptr || hosts == nullptr || !hosts->is_array()) {
    return Fail(error_kind::internal, "malformed share table");
  }
  share_table table;
  table.epoch = epoch->to_number<std::uint64_t>(code);
  for (const json::value& host : hosts->as_array()) {
    if (!host.is_string()) {
      return Fail(error_kind::internal, "malformed share table");
    }
    table.hosts.emplace_back(host.as_string());
  }
  if (code || table.epoch == 0 || table.hosts.empty()) {
    return Fail(error_kind::internal, "malformed share table");
  }
  return table;
}

}  // namespace

share_table_follower::share_table_follower(process_context& context)
    : context_(&context) {}

void share_table_follower::AddHandlers(internal_server& server) {
  server.AddControl(
      std::string(internal_api::kShareTable),
      [this](const http_request&) -> asio::awaitable<http_response> {
        if (table_.epoch == 0) {
          co_return ErrorResponse(
              error::Make(error_kind::not_ready, "no share table yet"), "");
        }
        co_return JsonResponse(200, ToJson(table_, ""));
      });
}

void share_table_follower::OnChange(
    std::function<void(const share_table&, table_origin)> callback) {
  callback_ = std::move(callback);
}

void share_table_follower::Adopt(share_table next, table_origin origin) {
  if (next.epoch <= table_.epoch) {
    return;
  }
  table_ = std::move(next);
  epoch_ = table_.epoch;
  context_->metrics()
      .Gauge("cardamomyard_share_epoch")
      .Set(static_cast<std::int64_t>(table_.epoch));
  kLog.Info("Share table in force.",
            {{"epoch", table_.epoch}, {"hosts", table_.hosts.size()}});
  if (callback_) {
    callback_(table_, origin);
  }
}

asio::awaitable<result<time_point>> share_table_follower::ReadStore() {
  const time_point sent = context_->time().Now();
  auto read = co_await context_->store().Get(kTableKey);
  if (!read) {
    co_return Fail(read.error());
  }
  stored_ = std::move(*read);
  if (stored_) {
    auto table = ParseTable(stored_->value);
    if (!table) {
      co_return Fail(table.error());
    }
    Adopt(std::move(*table), table_origin::found);
  }
  co_return sent;
}

asio::awaitable<result<void>> share_table_follower::CatchUp(
    host_address peer,
    std::uint64_t told) {
  if (told <= table_.epoch) {
    co_return result<void>();
  }
  auto text = co_await CallProcess(*context_, std::move(peer), "GET",
                                   std::string(internal_api::kShareTable), "",
                                   kPeerTimeout);
  if (!text) {
    co_return Fail(text.error());
  }
  auto table = ParseTable(*text);
  if (!table) {
    co_return Fail(table.error());
  }
  Adopt(std::move(*table), table_origin::found);
  co_return result<void>();
}

asio::awaitable<result<void>> share_table_follower::Write(share_table next) {
  const bool first = !stored_;
  if (!first) {
    // The plan must rest on the object that the condition names.
    auto base = ParseTable(stored_->value);
    if (!base || base->epoch + 1 != next.epoch) {
      co_return Fail(error_kind::conflict, "the share table has changed");
    }
  }
  const std::string nonce = context_->settings().id + "-" +
                            std::to_string(context_->incarnation()) + "-" +
                            std::to_string(++writes_);
  std::string text = ToJson(next, nonce);
  write_condition condition = IfUnchanged(stored_);
  const time_point sent = context_->time().Now();
  auto version = co_await context_->store().Put(kTableKey, text, condition);
  if (!version) {
    co_return Fail(version.error());
  }
  stored_ = stored_object{std::move(text), *version};
  // After a long wait for the answer, others may have removed this host and
  // use its share already.
  const bool fresh = first && context_->time().Now() - sent < kFreshFor;
  const auto origin = fresh ? table_origin::created : table_origin::found;
  Adopt(std::move(next), origin);
  co_return result<void>();
}

}  // namespace cardamomyard
