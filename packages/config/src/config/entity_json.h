#ifndef CARDAMOMYARD_CONFIG_ENTITY_JSON_H_
#define CARDAMOMYARD_CONFIG_ENTITY_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/base.h"
#include "src/config/entity.h"

namespace cardamomyard {

/// \returns \p value as a JSON object with the keys of the folder.
std::string EntityToJson(const entity& value);

/// \brief Reads an entity from a JSON object with the keys of the folder.
/// \param kind  "account", "route", ...
/// \param name  the name; ignored for "balance".
/// \returns the entity, or invalid_request with every value expected.
result<entity> EntityFromJson(std::string_view kind,
                              std::string_view name,
                              std::string_view text);

namespace internal {

/// \brief Checks the names and ranges of an entity made by code.
result<entity> CheckEntity(const entity& value);

/// \returns the content of one shard; equal records give equal bytes.
std::string EncodeRecords(const std::vector<record_ptr>& records);
/// \returns the records of one shard, each checked.
result<std::vector<record_ptr>> DecodeRecords(std::string_view text);

}  // namespace internal
}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_ENTITY_JSON_H_
