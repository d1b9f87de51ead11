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
    observed& held = observed_[server.entry.id];
    held.seen = now;
    if (server.online >= held.peak || now - held.peak_seen > kPeakMemory) {
      held.peak = server.online;
      held.peak_seen = now;
    }
    if (server.entry.slots - held.peak - server.batch <= kMargin) {
      held.room_since.reset();
    } else if (!held.room_since) {
      held.room_since = now;
    }
  }
  const auto forget = [now](const auto& item) {
    return now - item.second > kMemory;
  };
  std::erase_if(started_, forget);
  std::erase_if(observed_, [now](const auto& item) {
    return now - item.second.seen > kMemory;
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
    if (server.avoided || server.lapsed) {
      continue;
    }
    const auto held = observed_.find(server.entry.id);
    const bool known = held != observed_.end();
    const int online =
        known ? std::max(server.online, held->second.peak) : server.online;
    int free = server.entry.slots - reserve - online - server.batch;
    const auto filler = RendezvousTop(workers, server.entry.id, 1);
    if (filler.empty() || filler.front() != self_) {
      free -= kMargin;
      const auto started = started_.find(server.entry.id);
      const bool settling =
          started != started_.end() && now - started->second < kSettleTime;
      // Its own worker fills a server at once when it has items.
      const bool left_free = known && held->second.room_since &&
                             now - *held->second.room_since >= kSettleTime;
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
  return objective < kTightObjective ? kTightReserve : 0;
}

void batch_placement::Started(const std::string& backend, time_point now) {
  started_[backend] = now;
}

int batch_placement::Excess(const backend_status& server) const {
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
