#ifndef CARDAMOMYARD_ROUTING_UNREPORTED_LOAD_H_
#define CARDAMOMYARD_ROUTING_UNREPORTED_LOAD_H_

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "src/routing/candidate_set.h"

namespace cardamomyard::internal {

/// \brief Requests sent to and finished by each backend server since its last
/// report.
///
/// Without it every request between two reports would go to the server that
/// reported the lowest wait.
class unreported_load {
 public:
  void RecordSent(const std::string& id, time_point now) { Add(id, now, 1); }
  void RecordFinished(const std::string& id, time_point now) {
    Add(id, now, -1);
  }
  /// \returns sent minus finished since \p report_time; may be negative.
  int NetSince(const std::string& id, time_point report_time);
  /// \brief Forgets servers that are not in \p set and changes that its reports
  /// include.
  void Prune(const candidate_set& set);

 private:
  struct changes {
    std::deque<std::pair<time_point, int>> recent;
    int sum = 0;
  };
  static void DropReported(changes& entry, time_point report_time);
  void Add(const std::string& id, time_point now, int delta);

  std::unordered_map<std::string, changes> changes_;
};

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_ROUTING_UNREPORTED_LOAD_H_
