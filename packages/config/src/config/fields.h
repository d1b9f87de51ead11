#ifndef CARDAMOMYARD_CONFIG_FIELDS_H_
#define CARDAMOMYARD_CONFIG_FIELDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "src/config/entity.h"

namespace cardamomyard::internal {

/// A value of the folder or of a JSON body, independent of either parser.
using field_value = std::variant<std::monostate,  // a type that no key has
                                 bool,
                                 std::int64_t,
                                 double,
                                 std::string,
                                 std::vector<std::string>>;
using field_map = std::map<std::string, field_value, std::less<>>;

/// \brief What is wrong with one key, and the value expected.
struct field_problem {
  std::string key;  ///< "" when the entity as a whole is meant.
  std::string message;
};

/// \brief What a key that is not given means.
///
/// The folder must give every key: a file cut between two lines could otherwise
/// leave an account without its list of models, which means all models.
enum class missing_keys { take_defaults, refuse };

/// \brief Makes the entity \p kind \p name from its keys, checking names,
/// types and ranges; unknown keys are refused.
tl::expected<entity, std::vector<field_problem>> BuildEntity(
    std::string_view kind,
    std::string_view name,
    const field_map& fields,
    missing_keys missing = missing_keys::take_defaults);

/// \returns the keys of \p value. BuildEntity(ToFields(x)) is x.
field_map ToFields(const entity& value);

/// \returns whether \p name is `[a-z0-9][a-z0-9-]{0,62}`.
bool IsName(std::string_view name);

/// \returns whether \p key holds a decimal number.
bool IsDecimalKey(std::string_view key);

/// \returns \p value as the folder writes it.
std::string FormatField(const field_value& value);
/// \returns the shortest text that reads back as \p value.
std::string FormatDecimal(double value);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_CONFIG_FIELDS_H_
