#include "src/config/entity.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamomyard {

bool account_config::MayUse(std::string_view model) const {
  return models.empty() ||
         std::find(models.begin(), models.end(), model) != models.end();
}

std::string_view EntityKind(const entity& value) {
  constexpr std::array<std::string_view, std::variant_size_v<entity>> kKinds{
      "balance", "model", "service", "account", "key", "route"};
  return kKinds[value.index()];
}

const std::string& EntityName(const entity& value) {
  static const std::string none;
  return std::visit(
      [](const auto& typed) -> const std::string& {
        if constexpr (requires { typed.id; }) {
          return typed.id;
        } else if constexpr (requires { typed.name; }) {
          return typed.name;
        } else {
          return none;
        }
      },
      value);
}

std::string EntityId(const entity& value) {
  std::string id(EntityKind(value));
  if (const std::string& name = EntityName(value); !name.empty()) {
    id += "/" + name;
  }
  return id;
}

record_ptr MakeRecord(entity value, entity_origin origin) {
  std::string id = EntityId(value);
  return std::make_shared<const entity_record>(
      entity_record{std::move(id), std::move(value), std::move(origin)});
}

}  // namespace cardamomyard
