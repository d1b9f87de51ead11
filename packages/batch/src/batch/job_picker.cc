#include "src/batch/job_picker.h"

#include <cmath>
#include <map>
#include <tuple>
#include <utility>

#include "src/base/digest.h"

namespace cardamomyard {

job_picker::job_picker(std::string holder) : holder_(std::move(holder)) {}

std::optional<std::size_t> job_picker::PickJob(
    std::span<const open_job_entry> entries) {
  std::map<std::string_view, std::size_t> oldest;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto [oldest_entry, added] =
        oldest.try_emplace(entries[i].account, i);
    const open_job_entry& oldest_so_far = entries[oldest_entry->second];
    if (!added && std::tie(entries[i].created, entries[i].job_id) <
                      std::tie(oldest_so_far.created, oldest_so_far.job_id)) {
      oldest_entry->second = i;
    }
  }
  // Weighted rendezvous hashing: the account with the lowest
  // -ln(uniform)/weight is drawn with a probability proportional to its weight.
  const std::uint64_t seed = Hash64(holder_, ++draws_);
  std::optional<std::size_t> best;
  double best_score = 0;
  for (const auto& [account, index] : oldest) {
    const double uniform =
        (static_cast<double>(Hash64(account, seed) >> 11) + 0.5) * 0x1p-53;
    const double weight =
        entries[index].weight > 0 ? entries[index].weight : 1e-9;
    const double score = -std::log(uniform) / weight;
    if (!best || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

std::vector<std::size_t> job_picker::GroupOrder(const job_record& job) const {
  std::vector<std::size_t> order;
  const std::size_t count = job.done.size();
  if (count == 0) {
    return order;
  }
  const std::size_t start = Hash64(job.id, Hash64(holder_)) % count;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t group = (start + i) % count;
    if (!job.done[group]) {
      order.push_back(group);
    }
  }
  return order;
}

}  // namespace cardamomyard
