#include "src/admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace cardamomyard {

void fair_queue::Push(request_id id,
                      const std::string& account,
                      double weight,
                      time_point deadline) {
  assert(weight > 0 && "the weight must be above 0");
  assert(!entries_.contains(id) && "the request is already queued");
  double& finish = finish_tags_[account];
  const tag start{std::max(virtual_time_, finish), arrivals_++};
  finish = start.first + 1 / weight;
  by_tag_.emplace(start, id);
  by_deadline_.emplace(deadline, id);
  entries_.emplace(id, queue_entry{start, deadline});
}

std::optional<request_id> fair_queue::Pop() {
  if (by_tag_.empty()) {
    return std::nullopt;
  }
  const auto [start, id] = *by_tag_.begin();
  virtual_time_ = start.first;
  Erase(id);
  return id;
}

bool fair_queue::Remove(request_id id) {
  if (!entries_.contains(id)) {
    return false;
  }
  Erase(id);
  return true;
}

std::vector<request_id> fair_queue::Expire(time_point now) {
  std::vector<request_id> expired;
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    expired.push_back(by_deadline_.begin()->second);
    Erase(expired.back());
  }
  return expired;
}

std::vector<request_id> fair_queue::Clear() {
  std::vector<request_id> all;
  all.reserve(by_tag_.size());
  while (const auto id = Pop()) {
    all.push_back(*id);
  }
  return all;
}

void fair_queue::Erase(request_id id) {
  const auto found = entries_.find(id);
  by_tag_.erase(found->second.start);
  by_deadline_.erase({found->second.deadline, id});
  entries_.erase(found);
  if (by_tag_.empty()) {
    // The busy period has ended; service received in it does not count in the
    // next one.
    finish_tags_.clear();
    virtual_time_ = 0;
  } else if (finish_tags_.size() > 2 * by_tag_.size() + 64) {
    std::erase_if(finish_tags_, [&](const auto& item) {
      return item.second <= virtual_time_;
    });
  }
}

}  // namespace cardamomyard
