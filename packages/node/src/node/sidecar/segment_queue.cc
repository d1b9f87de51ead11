#include "src/node/sidecar/segment_queue.h"

#include <utility>

namespace cardamomyard {
namespace {

using run_outcome = item_result::run_outcome;

bool IsFinal(const item_result& run_result) {
  return run_result.outcome == run_outcome::completed ||
         run_result.outcome == run_outcome::failed;
}

}  // namespace

segment_queue::segment_queue(std::string job_id, std::size_t group)
    : job_id_(std::move(job_id)), group_(group) {}

void segment_queue::Add(item_result run_result, item_answer answer) {
  answer.item = run_result.item;
  if (run_result.outcome == run_outcome::failed) {
    answer.failure = run_result.failure;
    answer.message = run_result.message;
  }
  // An item whose answer does not fit into a segment fails.
  segment_builder single_line(job_id_, group_);
  if (IsFinal(run_result) && !single_line.Add(answer)) {
    run_result.outcome = run_outcome::failed;
    run_result.failure = error_kind::too_large;
    run_result.message = "the answer is larger than a result segment";
    answer.body = "null";
    answer.failure = run_result.failure;
    answer.message = run_result.message;
  }
  bytes_ += answer.body.size();
  entries_.push_back({std::move(run_result), std::move(answer)});
}

segment_queue::pending_commit segment_queue::Next() const {
  pending_commit next;
  segment_builder lines(job_id_, group_);
  for (const entry& waiting : entries_) {
    if (IsFinal(waiting.run_result)) {
      const result<bool> added = lines.Add(waiting.answer);
      if (!added || !*added) {
        break;
      }
    }
    next.results.push_back(waiting.run_result);
  }
  if (!lines.empty()) {
    next.segment_text = lines.Take();
  }
  return next;
}

void segment_queue::Drop(std::size_t count) {
  for (; count > 0; --count) {
    bytes_ -= entries_.front().answer.body.size();
    entries_.pop_front();
  }
}

bool segment_queue::full() const {
  return bytes_ > kMaxSegmentBytes / 2;
}

std::vector<std::size_t> segment_queue::Items() const {
  std::vector<std::size_t> items;
  items.reserve(entries_.size());
  for (const entry& waiting : entries_) {
    items.push_back(waiting.run_result.item);
  }
  return items;
}

}  // namespace cardamomyard
