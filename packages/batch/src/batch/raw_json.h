#ifndef CARDAMOMYARD_BATCH_RAW_JSON_H_
#define CARDAMOMYARD_BATCH_RAW_JSON_H_

#include <string>
#include <string_view>

namespace cardamomyard::internal {

// Bodies are passed on as they came: parsing and writing them again would
// round integers above 64 bits and change the form of numbers.

/// \brief Finds the text of a member of a JSON object.
/// \param object  text of an object, checked by a parser before.
/// \returns the value's text, of the last member with that name as the parser
/// takes it; empty when there is none.
std::string_view FindRawMember(std::string_view object, std::string_view name);

/// \returns checked JSON text without line breaks, which can only stand between
/// its tokens.
std::string ReplaceLineBreaks(std::string_view json_text);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_BATCH_RAW_JSON_H_
