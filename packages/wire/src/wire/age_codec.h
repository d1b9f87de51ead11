#ifndef CARDAMOMYARD_WIRE_AGE_CODEC_H_
#define CARDAMOMYARD_WIRE_AGE_CODEC_H_

#include <chrono>
#include <cstdint>

#include "src/wire/messages.h"

namespace cardamomyard::internal {

/// \returns an age in milliseconds, -1 for an event that never happened.
inline std::int64_t FromAge(const event_age& age) {
  return age ? age->count() : -1;
}

/// Reverses FromAge().
inline event_age ToAge(std::int64_t milliseconds) {
  if (milliseconds < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_WIRE_AGE_CODEC_H_
