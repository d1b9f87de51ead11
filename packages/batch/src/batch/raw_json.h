#ifndef CARDAMOMYARD_BATCH_RAW_JSON_H_
#define CARDAMOMYARD_BATCH_RAW_JSON_H_

#include <string>
#include <string_view>

namespace cardamomyard::internal {

// Bodies are handled as text: parsing and serializing them again would
// round integers above 64 bits and change the notation of numbers.

/// \brief Finds the text of a member of a JSON object.
/// \param object  valid JSON text of an object.
/// \returns the text of the member's value; of the last one when the name is
/// repeated, as in Boost.JSON; empty when there is none.
std::string_view FindRawMember(std::string_view object, std::string_view name);

/// \returns the valid JSON text \p json_text with spaces instead of line
/// breaks, which can only stand between its tokens.
std::string ReplaceLineBreaks(std::string_view json_text);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_BATCH_RAW_JSON_H_
