#include "src/node/sidecar/segment_queue.h"

#include <utility>

namespace cardamomyard {
namespace {

using run_outcome = item_result::run_outcome;

bool IsFinal(const item_result& ended) {
  return ended.outcome == run_outcome::completed ||
         ended.outcome == run_outcome::failed;
}

}  // namespace

segment_queue::segment_queue(std::string job_id, std::size_t group)
    : job_id_(std::move(job_id)), group_(group) {}

void segment_queue::Add(item_result ended, item_answer answer) {
  answer.item = ended.item;
  if (ended.outcome == run_outcome::failed) {
    answer.failure = ended.failure;
    answer.message = ended.message;
  }
  // An answer that does not fit into a segment ends its item as failed.
  segment_builder alone(job_id_, group_);
  if (IsFinal(ended) && !alone.Add(answer)) {
    ended.outcome = run_outcome::failed;
    ended.failure = error_kind::too_large;
    ended.message = "the answer is larger than a result segment";
    answer.body = "null";
    answer.failure = ended.failure;
    answer.message = ended.message;
  }
  bytes_ += answer.body.size();
  waiting_.push_back({std::move(ended), std::move(answer)});
}

segment_queue::pending_commit segment_queue::Next() const {
  pending_commit next;
  segment_builder lines(job_id_, group_);
  for (const entry& waiting : waiting_) {
    if (IsFinal(waiting.ended)) {
      const result<bool> added = lines.Add(waiting.answer);
      if (!added || !*added) {
        break;
      }
    }
    next.results.push_back(waiting.ended);
  }
  if (!lines.empty()) {
    next.segment_text = lines.Take();
  }
  return next;
}

void segment_queue::Drop(std::size_t count) {
  for (; count > 0; --count) {
    bytes_ -= waiting_.front().answer.body.size();
    waiting_.pop_front();
  }
}

bool segment_queue::full() const {
  return bytes_ > kMaxSegmentBytes / 2;
}

std::vector<std::size_t> segment_queue::Items() const {
  std::vector<std::size_t> items;
  items.reserve(waiting_.size());
  for (const entry& waiting : waiting_) {
    items.push_back(waiting.ended.item);
  }
  return items;
}

}  // namespace cardamomyard
