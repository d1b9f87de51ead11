#include "src/node/entry/admin_call.h"
#include "src/node/entry/admin_json.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

json::object Describe(const entity_record& record) {
  const bool folder = record.origin.from == entity_origin::source::folder;
  json::object described{{"name", EntityName(record.value)},
                         {"origin", folder ? "folder" : "api"},
                         {"value", json::parse(EntityToJson(record.value))}};
  if (folder) {
    described["file"] = record.origin.file;
  }
  return described;
}

admin_response List(const configuration& content, const std::string& kind) {
  json::array all;
  for (const record_ptr& record : content.records()) {
    if (EntityKind(record->value) == kind) {
      all.push_back(Describe(*record));
    }
  }
  return json::serialize(json::object{{"data", std::move(all)}});
}

asio::awaitable<admin_response> Write(admin_services& services,
                                      config_change change) {
  auto written = co_await services.writer->Write(std::move(change));
  if (!written) {
    co_return Fail(written.error());
  }
  const json::object answer{{"generation", written->generation},
                            {"changes", ToJsonArray(written->changes)}};
  co_return json::serialize(answer);
}

asio::awaitable<admin_response> Put(admin_services& services,
                                    std::string kind,
                                    admin_call call) {
  auto value = EntityFromJson(kind, call.path[1], call.body);
  if (!value) {
    co_return Fail(value.error());
  }
  config_change change;
  change.author = call.author;
  change.summary = "put " + EntityId(*value);
  change.apply = [value = *value](const configuration& current) {
    return PutApiEntity(current, value);
  };
  co_return co_await Write(services, std::move(change));
}

asio::awaitable<admin_response> Remove(admin_services& services,
                                       std::string kind,
                                       admin_call call) {
  const std::string id = kind + "/" + call.path[1];
  config_change change;
  change.author = call.author;
  change.summary = "remove " + id;
  // `apply` runs again after a lost write race. The entity is then already gone
  // if this request's earlier write or the winner's write removed it, which
  // counts as success.
  auto existed = std::make_shared<bool>(false);
  change.apply = [id, existed](const configuration& current) {
    if (*existed && current.Find(id) == nullptr) {
      return result<configuration>(current);
    }
    *existed = current.Find(id) != nullptr;
    return RemoveApiEntity(current, id);
  };
  co_return co_await Write(services, std::move(change));
}

}  // namespace

asio::awaitable<admin_response> ServeAdminEntities(admin_services& services,
                                                   admin_call call) {
  // Collection names are the plurals of the entity kinds.
  std::string kind = call.path[0].substr(0, call.path[0].size() - 1);
  if (call.path.size() > 2) {
    co_return NoSuchAdminCall(call);
  }
  if (call.path.size() == 2 && call.method == "PUT") {
    co_return co_await Put(services, std::move(kind), std::move(call));
  }
  if (call.path.size() == 2 && call.method == "DELETE") {
    co_return co_await Remove(services, std::move(kind), std::move(call));
  }
  if (call.method != "GET") {
    co_return NoSuchAdminCall(call);
  }
  const auto view = services.config->view();
  const configuration content = view ? view->content() : configuration();
  if (call.path.size() == 1) {
    co_return List(content, kind);
  }
  const record_ptr found = content.Find(kind + "/" + call.path[1]);
  if (found == nullptr) {
    co_return Fail(error_kind::not_found,
                   kind + "/" + call.path[1] + " does not exist");
  }
  co_return json::serialize(Describe(*found));
}

}  // namespace cardamomyard
