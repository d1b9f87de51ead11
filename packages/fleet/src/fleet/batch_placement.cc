#include "src/fleet/batch_placement.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// A slot that an online request left is taken again within about this time
// while a burst lasts.
constexpr std::chrono::milliseconds kPeakMemory{250};
// A start is known to the other workers after this time.
constexpr std::chrono::milliseconds kSettleTime{80};
// Servers that were not seen for this long are forgotten.
constexpr std::chrono::seconds kMemory{10};

}  // namespace

batch_placement::batch_placement(std::string self) : self_(std::move(self)) {}

void batch_placement::Observe(const std::vector<backend_status>& servers,
                              time_point now) {
  for (const backend_status& server : servers) {
    server_history& held = history_[server.entry.id];
    held.last_observed = now;
    if (server.online >= held.peak_online || now - held.peak_at > kPeakMemory) {
      held.peak_online = server.online;
      held.peak_at = now;
    }
    if (server.entry.slots - held.peak_online - server.batch <=
        kNonPrimaryMargin) {
      held.spare_since.reset();
    } else if (!held.spare_since) {
      held.spare_since = now;
    }
  }
  const auto forget = [now](const auto& item) {
    return now - item.second > kMemory;
  };
  std::erase_if(last_start_, forget);
  std::erase_if(history_, [now](const auto& item) {
    return now - item.second.last_observed > kMemory;
  });
}

std::optional<backend_status> batch_placement::Choose(
    const std::vector<backend_status>& servers,
    const std::vector<std::string>& workers,
    int reserve,
    time_point now) const {
  const backend_status* best = nullptr;
  int best_free = 0;
  for (const backend_status& server : servers) {
    if (server.in_backoff || server.unregistered) {
      continue;
    }
    const auto held = history_.find(server.entry.id);
    const bool known = held != history_.end();
    const int online = known ? std::max(server.online, held->second.peak_online)
                             : server.online;
    int free = server.entry.slots - reserve - online - server.batch;
    const auto filler = RendezvousTop(workers, server.entry.id, 1);
    if (filler.empty() || filler.front() != self_) {
      free -= kNonPrimaryMargin;
      const auto started = last_start_.find(server.entry.id);
      const bool settling =
          started != last_start_.end() && now - started->second < kSettleTime;
      // Its own worker fills a server at once when it has items.
      const bool left_free = known && held->second.spare_since &&
                             now - *held->second.spare_since >= kSettleTime;
      if (settling || !left_free) {
        continue;
      }
    }
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
  int excess =
      std::min(server.online + server.batch - server.entry.slots, server.batch);
  if (excess <= 0 || server.own_batch == 0) {
    return 0;
  }
  // One item at a time from the worker that has the most, so that all workers
  // come to the same result.
  std::vector<std::pair<std::string, int>> held = server.peer_batch;
  held.emplace_back(self_, server.own_batch);
  int own = 0;
  for (; excess > 0; --excess) {
    const auto most = std::max_element(
        held.begin(), held.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second, b.first) < std::pair(b.second, a.first);
        });
    --most->second;
    own += most->first == self_ ? 1 : 0;
  }
  return own;
}

}  // namespace cardamomyard
