#include "src/fleet/batch_placement.h"

#include <algorithm>

namespace cardamomyard {

std::optional<backend_entry> batch_placement::Choose(
    const std::vector<backend_status>& servers) {
  const backend_status* best = nullptr;
  int best_free = 0;
  for (const backend_status& server : servers) {
    const int free =
        server.entry.slots - kReserve - server.online - server.batch;
    if (!server.avoided && !server.lapsed && free > best_free) {
      best = &server;
      best_free = free;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->entry;
}

int batch_placement::Excess(const backend_status& server) {
  const int excess = server.online + server.batch - server.entry.slots;
  if (excess <= 0 || server.own_batch == 0) {
    return 0;
  }
  // Each host takes its share of the excess, rounded up, so that the hosts
  // together stop enough without a further message.
  const int share =
      (excess * server.own_batch + server.batch - 1) / server.batch;
  return std::min(share, server.own_batch);
}

}  // namespace cardamomyard
