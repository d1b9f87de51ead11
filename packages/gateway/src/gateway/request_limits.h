#ifndef CARDAMOMYARD_GATEWAY_REQUEST_LIMITS_H_
#define CARDAMOMYARD_GATEWAY_REQUEST_LIMITS_H_

#include <chrono>
#include <string>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

// The response must leave this host before the deadline.
inline constexpr std::chrono::milliseconds kDeadlineMargin{20};
inline constexpr std::chrono::milliseconds kMinHeadTimeout{60};

inline std::chrono::milliseconds ToMilliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

inline std::string Join(const std::vector<std::string>& names) {
  std::string list;
  for (const std::string& name : names) {
    list += (list.empty() ? "" : ",") + name;
  }
  return list;
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_REQUEST_LIMITS_H_
