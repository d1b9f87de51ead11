#include "harness/wait_until.h"

#include <thread>

namespace cardamomyard::harness {

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit) {
  constexpr std::chrono::milliseconds kPoll{10};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace cardamomyard::harness
