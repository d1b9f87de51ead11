#include "src/node/entry/admin_call.h"
#include "src/node/entry/admin_json.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

admin_response List(const configuration& content) {
  json::array all;
  for (const record_ptr& record : content.records()) {
    if (const auto* key = std::get_if<key_config>(&record->value)) {
      const bool folder = record->origin.from == entity_origin::source::folder;
      all.push_back(json::object{{"id", key->id},
                                 {"account", key->account},
                                 {"withdrawn", key->withdrawn},
                                 {"origin", folder ? "folder" : "api"}});
    }
  }
  return json::serialize(json::object{{"data", std::move(all)}});
}

asio::awaitable<admin_response> Create(admin_services& services,
                                       admin_call call) {
  auto body = ParseAdminObject(call.body, {"id", "account"});
  if (!body) {
    co_return Fail(body.error());
  }
  auto id = RequiredString(*body, "id");
  auto account = RequiredString(*body, "account");
  if (!id || !account) {
    co_return Fail(!id ? id.error() : account.error());
  }
  const new_key created = CreateKey(*id);
  const key_config value{*id, *account, created.sha256, false};
  config_change change;
  change.author = call.author;
  change.summary = "create key/" + *id;
  change.apply = [value](const configuration& current) {
    const key_config* existing = current.FindKey(value.id);
    if (existing != nullptr && existing->sha256 != value.sha256) {
      return result<configuration>(
          Fail(error_kind::conflict, "key/" + value.id + " exists already"));
    }
    return PutApiEntity(current, value);
  };
  auto written = co_await services.writer->Write(std::move(change));
  if (!written) {
    co_return Fail(written.error());
  }
  const json::object answer{{"id", *id},
                            {"account", *account},
                            {"key", created.text},
                            {"generation", written->generation}};
  co_return json::serialize(answer);
}

asio::awaitable<admin_response> Withdraw(admin_services& services,
                                         admin_call call) {
  const std::string id = call.path[1];
  config_change change;
  change.author = call.author;
  change.summary = "withdraw key/" + id;
  change.apply = [id](const configuration& current) {
    return WithdrawKey(current, id);
  };
  auto written = co_await services.writer->Write(std::move(change));
  if (!written) {
    co_return Fail(written.error());
  }
  const json::object answer{
      {"id", id}, {"withdrawn", true}, {"generation", written->generation}};
  co_return json::serialize(answer);
}

}  // namespace

asio::awaitable<admin_response> ServeAdminKeys(admin_services& services,
                                               admin_call call) {
  if (call.path.size() == 1 && call.method == "GET") {
    const auto view = services.config->view();
    co_return List(view ? view->content() : configuration());
  }
  if (call.path.size() == 1 && call.method == "POST") {
    co_return co_await Create(services, std::move(call));
  }
  if (call.path.size() == 3 && call.path[2] == "withdraw" &&
      call.method == "POST") {
    co_return co_await Withdraw(services, std::move(call));
  }
  co_return NoSuchAdminCall(call);
}

}  // namespace cardamomyard
