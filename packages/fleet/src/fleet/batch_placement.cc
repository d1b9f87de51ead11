#include "src/fleet/batch_placement.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// During a burst, a slot that an online request frees is taken again within
// about this time.
constexpr std::chrono::milliseconds kPeakWindow{250};
// Other workers know of a started item after this time.
constexpr std::chrono::milliseconds kPropagationDelay{80};
// The history of servers that were not listed for this long is dropped.
constexpr std::chrono::seconds kHistoryRetention{10};

/// \returns how many of \p kept slots an item must leave free. An idle server
/// takes one item however small it is; online requests preempt it.
int SlotsToLeave(const backend_entry& server, int kept) {
  return std::min(kept, std::max(1, server.slots) - 1);
}

}  // namespace

std::vector<std::string> ServicesInTurn(
    const std::vector<service_share>& shares,
    std::uint64_t turn) {
  std::vector<std::string> services;
  for (const service_share& share : shares) {
    if (share.weight > 0) {
      services.push_back(share.service);
    }
  }
  if (services.empty()) {
    return {shares.front().service};
  }
  std::rotate(
      services.begin(),
      services.begin() + static_cast<std::ptrdiff_t>(turn % services.size()),
      services.end());
  return services;
}

batch_placement::batch_placement(std::string self) : self_(std::move(self)) {}

void batch_placement::Observe(const std::vector<backend_status>& servers,
                              time_point now) {
  to_fill_.clear();
  for (const backend_status& server : servers) {
    server_history& history = history_[server.entry.id];
    history.last_observed = now;
    if (server.online >= history.peak_online ||
        now - history.peak_at > kPeakWindow) {
      history.peak_online = server.online;
      history.peak_at = now;
    }
    if (server.entry.slots - history.peak_online - server.batch <=
        SlotsToLeave(server.entry, kNonPrimaryMargin)) {
      history.spare_since.reset();
    } else if (!history.spare_since) {
      history.spare_since = now;
    }
  }
  const auto is_outdated = [now](const auto& item) {
    return now - item.second > kHistoryRetention;
  };
  std::erase_if(last_start_, is_outdated);
  std::erase_if(history_, [now](const auto& item) {
    return now - item.second.last_observed > kHistoryRetention;
  });
}

const std::vector<std::size_t>& batch_placement::ServersToFill(
    const std::vector<backend_status>& servers) {
  std::vector<std::size_t>& positions =
      to_fill_[servers.empty() ? "" : servers.front().entry.service];
  if (servers.size() > kMaxCompared && !positions.empty() &&
      positions.back() < servers.size()) {
    return positions;
  }
  positions.clear();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers.size() > kMaxCompared) {
      const top_hosts& ranks = ranks_.Of(servers[i].entry.id);
      if (ranks.first != self_ && ranks.second != self_) {
        continue;
      }
    }
    positions.push_back(i);
  }
  return positions;
}

std::optional<int> batch_placement::SlotsToKeep(const backend_status& server,
                                                const server_history* history,
                                                int reserve,
                                                time_point now) {
  if (ranks_.Of(server.entry.id).first == self_) {
    return reserve;
  }
  const auto started = last_start_.find(server.entry.id);
  const bool recently_started =
      started != last_start_.end() && now - started->second < kPropagationDelay;
  // A primary worker that has items fills its server at once.
  const bool primary_is_idle = history != nullptr && history->spare_since &&
                               now - *history->spare_since >= kPropagationDelay;
  if (recently_started || !primary_is_idle) {
    return std::nullopt;
  }
  return reserve + kNonPrimaryMargin;
}

std::optional<backend_status> batch_placement::Choose(
    const std::vector<backend_status>& servers,
    const std::vector<std::string>& workers,
    int reserve,
    time_point now,
    const std::set<std::string>* zones) {
  if (workers != workers_) {
    workers_ = workers;
    ranks_.SetHosts(workers);
  }
  const backend_status* best = nullptr;
  int best_free = 0;
  const std::vector<std::size_t>& positions = ServersToFill(servers);
  const bool all_may_leave =
      std::all_of(positions.begin(), positions.end(),
                  [&servers](std::size_t i) { return servers[i].may_leave; });
  for (const std::size_t position : positions) {
    const backend_status& server = servers[position];
    if ((zones != nullptr && !zones->contains(server.entry.zone)) ||
        server.in_backoff || server.unregistered || server.cold ||
        (server.may_leave && !all_may_leave)) {
      continue;
    }
    const auto found = history_.find(server.entry.id);
    const server_history* history =
        found != history_.end() ? &found->second : nullptr;
    const std::optional<int> kept = SlotsToKeep(server, history, reserve, now);
    if (!kept) {
      continue;
    }
    const int online = history != nullptr
                           ? std::max(server.online, history->peak_online)
                           : server.online;
    const int free = server.entry.slots - SlotsToLeave(server.entry, *kept) -
                     online - server.batch;
    if (free > best_free) {
      best = &server;
      best_free = free;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return *best;
}

int batch_placement::Reserve(std::chrono::milliseconds objective) {
  return objective < kTightObjective ? kReservedSlots : 0;
}

void batch_placement::RecordStart(const std::string& backend, time_point now) {
  last_start_[backend] = now;
}

int batch_placement::ItemsToPreempt(const backend_status& server) const {
  if (server.own_batch == 0) {
    return 0;
  }
  int excess =
      std::min(server.online + server.batch - server.entry.slots, server.batch);
  if (excess <= 0) {
    return 0;
  }
  // Take one item at a time from the worker that has the most, in a tie from
  // the lowest name, so that all workers compute the same split.
  std::vector<std::pair<std::string, int>> items_of = server.peer_batch;
  items_of.emplace_back(self_, server.own_batch);
  int own = 0;
  for (; excess > 0; --excess) {
    const auto most = std::max_element(
        items_of.begin(), items_of.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second, b.first) < std::pair(b.second, a.first);
        });
    --most->second;
    own += most->first == self_ ? 1 : 0;
  }
  return own;
}

}  // namespace cardamomyard
