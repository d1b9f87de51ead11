#ifndef CARDAMOMYARD_CONFIG_ENTITY_H_
#define CARDAMOMYARD_CONFIG_ENTITY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomyard {

/// \brief The weight between online latency and batch throughput.
struct balance_config {
  double batch_weight = 0.5;  ///< 0 favours latency, 1 throughput.
  friend auto operator<=>(const balance_config&,
                          const balance_config&) = default;
};

/// \brief A model and its versions; the last version is the one to serve.
struct model_config {
  std::string name;
  std::int64_t context_tokens = 0;
  std::vector<std::string> versions;
  std::vector<std::string> adapters;
  bool engine_checks_fencing = false;
  friend auto operator<=>(const model_config&, const model_config&) = default;
};

/// \brief A plain HTTP service.
struct service_config {
  std::string name;
  std::chrono::milliseconds timeout{0};
  friend auto operator<=>(const service_config&,
                          const service_config&) = default;
};

/// \brief A client account; its rate and burst count over the whole fleet.
struct account_config {
  std::string name;
  double rate_per_second = 0;
  std::int64_t burst = 0;
  double weight = 1;
  std::vector<std::string> models;  ///< Empty: all models.

  /// \returns whether the account may use \p model.
  bool MayUse(std::string_view model) const;

  friend auto operator<=>(const account_config&,
                          const account_config&) = default;
};

/// \brief A client key, known only by its hash.
struct key_config {
  std::string id;
  std::string account;
  std::string sha256;
  bool withdrawn = false;
  friend auto operator<=>(const key_config&, const key_config&) = default;
};

/// \brief A path prefix that a service answers.
struct route_config {
  std::string name;
  std::string path_prefix;
  std::string service;
  bool repeatable = false;
  bool open = false;
  double open_rate_per_second = 0;  ///< Set only for open routes.
  std::int64_t open_burst = 0;      ///< Set only for open routes.
  friend auto operator<=>(const route_config&, const route_config&) = default;
};

using entity = std::variant<balance_config,
                            model_config,
                            service_config,
                            account_config,
                            key_config,
                            route_config>;

/// \returns the kind of \p value as the folder writes it, for instance "key".
std::string_view EntityKind(const entity& value);
/// \returns the name, or "" for the balance.
const std::string& EntityName(const entity& value);
/// \returns "kind/name", or "balance".
std::string EntityId(const entity& value);

/// \brief Where an entity came from.
struct entity_origin {
  enum class source { folder, api };
  source from = source::api;
  std::string file;  ///< The folder's file that defines it last.
  friend auto operator<=>(const entity_origin&, const entity_origin&) = default;
};

/// \brief An entity with its origin.
struct entity_record {
  std::string id;
  entity value;
  entity_origin origin;
  friend bool operator==(const entity_record&, const entity_record&) = default;
};

/// Records are immutable and shared between configurations.
using record_ptr = std::shared_ptr<const entity_record>;

/// \brief Makes the record of \p value.
record_ptr MakeRecord(entity value, entity_origin origin);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_ENTITY_H_
