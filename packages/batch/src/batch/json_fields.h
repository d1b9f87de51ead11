#ifndef CARDAMOMYARD_BATCH_JSON_FIELDS_H_
#define CARDAMOMYARD_BATCH_JSON_FIELDS_H_

// Included only by .cc files: the Boost.JSON headers are slow to compile.

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace cardamomyard::internal {

/// \brief Parses \p text with a nesting limit that admits the tool schemas in
/// request bodies.
result<boost::json::value> ParseJson(std::string_view text);

/// \brief Parses a JSON object and reads its fields with \p read_fields.
///
/// Exceptions of Boost.JSON accessors (missing field, wrong type, number out
/// of range) become an `internal` error that names \p record_name.
result<void> ParseRecord(
    std::string_view text,
    std::string_view record_name,
    const std::function<void(const boost::json::object&)>& read_fields);

std::string GetString(const boost::json::object& object, std::string_view name);
std::uint64_t GetUint64(const boost::json::object& object,
                        std::string_view name);
wall_time GetWallTime(const boost::json::object& object, std::string_view name);
std::int64_t ToUnixMs(wall_time time);

/// \returns the first 32 hex digits of a SHA-256 over \p parts, each preceded
/// by its length so that different lists never give the same input.
std::string ShortHash(std::initializer_list<std::string_view> parts);

/// \returns \p text if it is valid UTF-8; otherwise with every byte above 0x7f
/// replaced, since a record with invalid UTF-8 could be written but not parsed
/// again.
std::string ToValidUtf8(std::string_view text);

/// \returns \p text as it may be stored in a record: valid UTF-8, without
/// control characters (each takes six bytes in JSON) and at most
/// kMaxMessageBytes long.
std::string SanitizeMessage(std::string_view text);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_BATCH_JSON_FIELDS_H_
