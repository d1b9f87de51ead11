#ifndef CARDAMOMYARD_CONFIG_PATH_H_
#define CARDAMOMYARD_CONFIG_PATH_H_

#include <string_view>

namespace cardamomyard::internal {

/// \returns whether \p path is one of the system's own paths or below one.
bool IsReservedPath(std::string_view path);

/// \returns whether \p path may be the prefix of a route.
bool IsRoutePrefix(std::string_view path);

/// \brief Finds "." and ".." segments, also percent-encoded or behind a
/// backslash.
///
/// A service may resolve such segments, so a call to an open route could
/// reach another route's path without a key.
bool HasDotSegments(std::string_view path);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_CONFIG_PATH_H_
