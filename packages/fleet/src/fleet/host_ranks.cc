#include "src/fleet/host_ranks.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cardamomyard/base.h"

namespace cardamomyard {
namespace {

// Bounds the memory for keys that are no longer in use, such as servers that
// were replaced.
constexpr std::size_t kMaxKeys = 16'384;

}  // namespace

void host_ranks::Insert(ranked_hosts& ranked, const std::string& host) {
  const std::uint64_t score = Hash64(host, ranked.key_hash);
  const auto precedes = [&](std::uint64_t other, const std::string& name) {
    return name.empty() || score > other || (score == other && host < name);
  };
  if (precedes(ranked.first_score, ranked.names.first)) {
    ranked.names.second = std::exchange(ranked.names.first, host);
    ranked.second_score = std::exchange(ranked.first_score, score);
  } else if (precedes(ranked.second_score, ranked.names.second)) {
    ranked.names.second = host;
    ranked.second_score = score;
  }
}

void host_ranks::SetHosts(std::vector<std::string> hosts) {
  std::sort(hosts.begin(), hosts.end());
  if (hosts == hosts_) {
    return;
  }
  std::vector<std::string> added;
  std::set_difference(hosts.begin(), hosts.end(), hosts_.begin(), hosts_.end(),
                      std::back_inserter(added));
  hosts_ = std::move(hosts);
  ++version_;
  const auto is_gone = [this](const std::string& name) {
    return !name.empty() &&
           !std::binary_search(hosts_.begin(), hosts_.end(), name);
  };
  std::erase_if(ranked_, [&is_gone](const auto& entry) {
    return is_gone(entry.second.names.first) ||
           is_gone(entry.second.names.second);
  });
  for (auto& [key, ranked] : ranked_) {
    for (const std::string& host : added) {
      Insert(ranked, host);
    }
  }
}

const top_hosts& host_ranks::Of(const std::string& key) {
  const auto found = ranked_.find(key);
  if (found != ranked_.end()) {
    return found->second.names;
  }
  if (ranked_.size() >= kMaxKeys) {
    ranked_.clear();
  }
  ranked_hosts& ranked = ranked_[key];
  ranked.key_hash = Hash64(key);
  for (const std::string& host : hosts_) {
    Insert(ranked, host);
  }
  return ranked.names;
}

}  // namespace cardamomyard
