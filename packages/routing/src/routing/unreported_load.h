#ifndef CARDAMOMYARD_ROUTING_UNREPORTED_LOAD_H_
#define CARDAMOMYARD_ROUTING_UNREPORTED_LOAD_H_

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "src/routing/candidate_set.h"

namespace cardamomyard::internal {

/// \brief Tracks the requests sent to and finished by each backend server since
/// its last report.
///
/// Without this correction, all requests between two reports would go to the
/// server that reported the lowest wait.
class unreported_load {
 public:
  void RecordSent(const std::string& id, time_point now) { Add(id, now, 1); }
  void RecordFinished(const std::string& id, time_point now) {
    Add(id, now, -1);
  }
  /// \returns requests sent minus finished since \p report_time; may be
  /// negative.
  int NetSince(const std::string& id, time_point report_time);
  /// \brief Drops servers that are not in \p set and changes that precede the
  /// reports in \p set.
  void Prune(const candidate_set& set);

 private:
  struct changes {
    std::deque<std::pair<time_point, int>> recent;  ///< Time, +1 or -1.
    int sum = 0;                                    ///< Sum over `recent`.
  };
  static void DropReported(changes& entry, time_point report_time);
  void Add(const std::string& id, time_point now, int delta);

  std::unordered_map<std::string, changes> changes_;
};

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_ROUTING_UNREPORTED_LOAD_H_
