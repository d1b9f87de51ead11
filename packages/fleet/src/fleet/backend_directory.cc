#include "src/fleet/backend_directory.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// Entries that lapsed in an outage of the store are back about two seconds
// after its return (the users' letter).
constexpr std::chrono::milliseconds kReturnTime{2200};
// Removals this soon after an outage may be lapses of the outage.
constexpr std::chrono::milliseconds kLapseWindow{1000};

}  // namespace

backend_directory::backend_directory(std::chrono::milliseconds drain_bound)
    : drain_bound_(drain_bound) {}

duration backend_directory::GracePeriod(time_point now) const {
  // Half of the bound leaves time for the news to arrive and for the request
  // to travel.
  const duration usual = drain_bound_ / 2;
  if (store_recovered_at_ && now - *store_recovered_at_ < kLapseWindow) {
    return std::max<duration>(usual, *store_recovered_at_ + kReturnTime - now);
  }
  return usual;
}

void backend_directory::MarkUnregistered(state& entry, time_point now) const {
  if (!entry.usable_until) {
    entry.usable_until = now + GracePeriod(now);
  }
}

void backend_directory::Replace(std::vector<backend_entry> entries,
                                time_point now) {
  for (auto& [id, held] : entries_) {
    const bool listed =
        std::any_of(entries.begin(), entries.end(),
                    [&id = id](const backend_entry& e) { return e.id == id; });
    if (!listed) {
      MarkUnregistered(held, now);
    }
  }
  for (backend_entry& entry : entries) {
    Upsert(std::move(entry), now);
  }
}

void backend_directory::Upsert(backend_entry entry, time_point /*now*/) {
  std::string id = entry.id;
  entries_.insert_or_assign(std::move(id),
                            state{std::move(entry), std::nullopt});
}

void backend_directory::Remove(const std::string& id, time_point now) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    MarkUnregistered(found->second, now);
  }
}

void backend_directory::OnStoreRecovered(time_point now) {
  store_recovered_at_ = now;
}

std::vector<usable_backend> backend_directory::Usable(time_point now) {
  std::erase_if(entries_, [now](const auto& held) {
    return held.second.usable_until && now >= *held.second.usable_until;
  });
  std::vector<usable_backend> usable;
  for (const auto& [id, held] : entries_) {
    if (!held.entry.draining) {
      usable.push_back({held.entry, held.usable_until.has_value()});
    }
  }
  return usable;
}

}  // namespace cardamomyard
