#ifndef CARDAMOMYARD_STANDINS_COMMON_KEY_DETECTOR_H_
#define CARDAMOMYARD_STANDINS_COMMON_KEY_DETECTOR_H_

#include <string_view>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

/// \returns whether the request carries an Authorization header, or anything
/// that looks like a caller's key in its target, headers or body.
bool CarriesKey(const http_request& request, std::string_view body);

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_COMMON_KEY_DETECTOR_H_
