#ifndef CARDAMOMYARD_CONFIG_CONFIGURATION_H_
#define CARDAMOMYARD_CONFIG_CONFIGURATION_H_

#include <memory>
#include <string_view>
#include <vector>

#include "cardamomyard/base.h"
#include "src/config/entity.h"

namespace cardamomyard {
namespace internal {
struct configuration_index;
}  // namespace internal

/// \brief What breaks a rule between entities, and the entity and key at fault.
struct reference_problem {
  std::string entity_id;
  std::string key;
  std::string message;
};

/// \brief Every entity of one configuration; an immutable value, cheap to copy.
///
/// Every configuration is consistent: references resolve, and path prefixes and
/// key hashes are unique.
class configuration {
 public:
  /// The empty configuration.
  configuration();

  /// \brief Makes a configuration and checks the rules between its entities.
  /// \param records  the entities, in any order, each id once.
  static tl::expected<configuration, std::vector<reference_problem>> Make(
      std::vector<record_ptr> records);

  /// \returns all records, sorted by id.
  const std::vector<record_ptr>& records() const;
  /// \returns the record with that id ("account/acme"), or null.
  record_ptr Find(std::string_view id) const;

  const balance_config& balance() const;
  const account_config* FindAccount(std::string_view name) const;
  const model_config* FindModel(std::string_view name) const;
  const service_config* FindService(std::string_view name) const;
  const key_config* FindKey(std::string_view id) const;
  const key_config* FindKeyByHash(std::string_view sha256) const;
  /// \brief Finds the route with the longest prefix of \p path that ends at a
  /// segment boundary.
  /// \returns null for reserved paths and paths with dot segments.
  const route_config* FindRoute(std::string_view path) const;

  /// \returns all entities of one type, sorted by name.
  template <class T>
  std::vector<const T*> All() const {
    std::vector<const T*> found;
    for (const record_ptr& record : records()) {
      if (const T* value = std::get_if<T>(&record->value)) {
        found.push_back(value);
      }
    }
    return found;
  }

  friend bool operator==(const configuration& a, const configuration& b);

 private:
  std::shared_ptr<const internal::configuration_index> index_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_CONFIGURATION_H_
