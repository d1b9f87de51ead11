#ifndef CARDAMOMYARD_ADMISSION_FAIR_QUEUE_H_
#define CARDAMOMYARD_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/base/clock.h"

namespace cardamomyard {

/// Id of a request, unique within one sidecar.
using request_id = std::uint64_t;

/// \brief Start-time fair queue over client accounts.
///
/// The start tag of a request is the later of the virtual time and the finish
/// tag of the account's previous request; the lowest start tag is served first.
/// An account that sends many requests delays only its own. Adding and removing
/// a request is logarithmic in the length of the queue.
class fair_queue {
 public:
  /// \param id  must not be in the queue.
  /// \param weight  weight of the account, above 0.
  void Push(request_id id,
            const std::string& account,
            double weight,
            time_point deadline);
  /// \returns the next request, or nothing when the queue is empty.
  std::optional<request_id> Pop();
  /// \returns whether \p id was in the queue.
  bool Remove(request_id id);
  /// \brief Removes and returns the requests whose deadline is at or before
  /// \p now.
  std::vector<request_id> Expire(time_point now);
  /// \brief Removes and returns all requests in service order.
  std::vector<request_id> Clear();

  std::size_t size() const { return by_tag_.size(); }
  bool empty() const { return by_tag_.empty(); }

 private:
  using tag = std::pair<double, std::uint64_t>;  // Start tag, arrival number.
  struct queue_entry {
    tag start;
    time_point deadline;
  };
  void Erase(request_id id);

  std::map<tag, request_id> by_tag_;
  std::set<std::pair<time_point, request_id>> by_deadline_;
  std::unordered_map<request_id, queue_entry> entries_;
  std::unordered_map<std::string, double> finish_tags_;
  double virtual_time_ = 0;
  std::uint64_t arrivals_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_FAIR_QUEUE_H_
