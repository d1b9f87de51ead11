#include "recorder.h"

#include <algorithm>
#include <cmath>

namespace cardamomyard::loadgen {

void recorder::Sent() {
  const std::lock_guard lock(mutex_);
  ++summary_.sent;
}

void recorder::Skipped() {
  const std::lock_guard lock(mutex_);
  ++summary_.skipped;
}

void recorder::Add(const call_record& record) {
  const std::lock_guard lock(mutex_);
  ++summary_.statuses[record.status];
  summary_.samples.push_back({record.sent_s,
                              record.sent_s + record.head_ms / 1000,
                              record.status, record.complete, record.outcome});
  summary_.tokens += record.tokens;
  summary_.retry_after += record.retry_after ? 1 : 0;
  if (record.complete) {
    ++summary_.complete;
    summary_.total_ms.push_back(record.total_ms);
  }
  if (!record.error.empty()) {
    ++summary_.errors[record.error];
    ++summary_.outcomes[record.outcome];
  }
  if (record.first_token_ms) {
    summary_.first_token_ms.push_back(*record.first_token_ms);
  }
  summary_.gaps_ms.insert(summary_.gaps_ms.end(), record.gaps_ms.begin(),
                          record.gaps_ms.end());
}

caller_summary recorder::Summary() const {
  caller_summary copy;
  {
    const std::lock_guard lock(mutex_);
    copy = summary_;
  }
  std::sort(copy.first_token_ms.begin(), copy.first_token_ms.end());
  std::sort(copy.gaps_ms.begin(), copy.gaps_ms.end());
  std::sort(copy.total_ms.begin(), copy.total_ms.end());
  return copy;
}

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const double rank = std::ceil(std::clamp(share, 0.0, 1.0) *
                                static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

}  // namespace cardamomyard::loadgen
