#ifndef CARDAMOMYARD_NODE_SIDECAR_SEGMENT_QUEUE_H_
#define CARDAMOMYARD_NODE_SIDECAR_SEGMENT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "cardamomyard/batch.h"

namespace cardamomyard {

/// \brief Queue of the results of a group that are not committed yet.
class segment_queue {
 public:
  /// \brief Results of one commit and the text of their segment.
  struct pending_commit {
    std::string segment_text;  ///< Empty when no result is final.
    std::vector<item_result> results;
  };

  segment_queue(std::string job_id, std::size_t group);

  /// Adds the result of a run. \p answer is used for final results only.
  void Add(item_result run_result, item_answer answer);
  /// \returns the oldest results that fit into one segment. They stay in the
  /// queue until Drop().
  pending_commit Next() const;
  /// Removes the first \p count results after their commit.
  void Drop(std::size_t count);

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  /// \returns whether the queued answers exceed half a segment.
  bool full() const;
  /// \returns the items whose results are queued.
  std::vector<std::size_t> Items() const;

 private:
  struct entry {
    item_result run_result;
    item_answer answer;
  };

  std::string job_id_;
  std::size_t group_;
  std::deque<entry> entries_;
  std::size_t bytes_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_SEGMENT_QUEUE_H_
