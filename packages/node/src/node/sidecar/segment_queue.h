#ifndef CARDAMOMYARD_NODE_SIDECAR_SEGMENT_QUEUE_H_
#define CARDAMOMYARD_NODE_SIDECAR_SEGMENT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "cardamomyard/batch.h"

namespace cardamomyard {

/// \brief Results that wait for their commit.
class segment_queue {
 public:
  /// \brief Results and result lines of one commit.
  struct pending_commit {
    std::string segment_text;  ///< Empty when no result is final.
    std::vector<item_result> results;
  };

  segment_queue(std::string job_id, std::size_t group);

  /// Adds how a run ended. \p answer is used for final results.
  void Add(item_result ended, item_answer answer);
  /// \returns the results of one segment, in the order of Add; they stay in the
  /// queue until Drop.
  pending_commit Next() const;
  /// Removes the first \p count results after their commit.
  void Drop(std::size_t count);

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }
  /// \returns whether the waiting lines fill a segment.
  bool full() const;
  /// \returns the items that wait.
  std::vector<std::size_t> Items() const;

 private:
  struct entry {
    item_result ended;
    item_answer answer;
  };

  std::string job_id_;
  std::size_t group_;
  std::deque<entry> waiting_;
  std::size_t bytes_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_SEGMENT_QUEUE_H_
