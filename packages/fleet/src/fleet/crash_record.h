#ifndef CARDAMOMYARD_FLEET_CRASH_RECORD_H_
#define CARDAMOMYARD_FLEET_CRASH_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Detects poison requests, which crash each backend server that runs
/// them.
///
/// A poison request would take down one server after the other. A request is
/// refused after kMaxCrashes different servers broke off while running it.
class crash_record {
 public:
  static constexpr std::size_t kMaxCrashes = 3;

  /// \param fingerprint  hash of account, path and body.
  void RecordCrash(std::uint64_t fingerprint,
                   const std::string& backend,
                   time_point now);
  /// The request ran to its end.
  void RecordCompletion(std::uint64_t fingerprint);
  bool IsRefused(std::uint64_t fingerprint, time_point now);

 private:
  struct entry {
    std::set<std::string> backends;
    time_point last_crash;
  };
  void Expire(time_point now);
  std::map<std::uint64_t, entry> entries_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_CRASH_RECORD_H_
