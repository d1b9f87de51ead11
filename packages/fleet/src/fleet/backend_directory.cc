#include "src/fleet/backend_directory.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// By the users' requirements, registrations that expired during a store outage
// reappear about two seconds after the store recovers.
constexpr std::chrono::milliseconds kReregistrationTime{2200};
// Removals this soon after an outage may be expiries caused by it.
constexpr std::chrono::milliseconds kPostOutageWindow{1000};

bool TakesNewWork(departure_state state) {
  return state == departure_state::none || state == departure_state::claimed;
}

}  // namespace

backend_instance backend_entry::instance() const {
  return {id, address.ToString(), started_unix_ms, revision};
}

backend_directory::backend_directory(std::chrono::milliseconds max_drain_time)
    : max_drain_time_(max_drain_time) {}

duration backend_directory::GracePeriod(time_point now) const {
  // The other half of the drain time covers the delay until this host learns of
  // the removal, and the request's way to the server.
  const duration normal_period = max_drain_time_ / 2;
  if (store_recovered_at_ && now - *store_recovered_at_ < kPostOutageWindow) {
    return std::max<duration>(normal_period,
                              *store_recovered_at_ + kReregistrationTime - now);
  }
  return normal_period;
}

void backend_directory::MarkUnregistered(state& server, time_point now) {
  departures_.RecordRemoved(server.entry.id);
  if (!server.usable_until) {
    server.usable_until = now + GracePeriod(now);
  }
}

void backend_directory::Upsert(backend_entry entry, time_point now) {
  // An entry that is listed again tells nothing new of the server.
  const auto known = entries_.find(entry.id);
  if (known == entries_.end() ||
      known->second.entry.revision != entry.revision) {
    RecordCold({entry.id, entry.started_unix_ms}, entry.cold_remaining,
               cold_servers::source::server, now);
  }
  departures_.EndReplaced(entry.instance(), [this](const std::string& id) {
    return entries_.contains(id);
  });
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

bool backend_directory::AnnounceLeaving(const backend_entry& server,
                                        time_point now) {
  return departures_.Announce(server.instance(), now);
}

std::vector<departure> backend_directory::AnnouncedLeaving(
    time_point now) const {
  std::vector<departure> announced = departures_.Announced(now);
  std::erase_if(announced, [this](const departure& known) {
    return !entries_.contains(known.instance.id);
  });
  return announced;
}

bool backend_directory::RecordCold(const cold_instance& server,
                                   std::chrono::milliseconds remaining,
                                   cold_servers::source reported_by,
                                   time_point now) {
  return limits_cold_servers_ &&
         cold_.Record(server, remaining, reported_by, now);
}

bool backend_directory::IsCold(const backend_entry& server,
                               time_point now) const {
  return cold_.IsCold({server.id, server.started_unix_ms}, now);
}

bool backend_directory::TakesWork(const backend_entry& server) const {
  return evacuations_known_ && !evacuated_zones_.contains(server.zone) &&
         TakesNewWork(departures_.StateOf(server.instance()));
}

leaving_counts backend_directory::CountLeaving() const {
  leaving_counts counts;
  const bool none_leaves = departures_.empty();
  for (const auto& [id, current] : entries_) {
    counts.by_entry += current.entry.draining ? 1 : 0;
    if (none_leaves) {
      continue;
    }
    switch (departures_.StateOf(current.entry.instance())) {
      case departure_state::none:
        break;
      case departure_state::claimed:
        ++counts.by_one_host;
        break;
      case departure_state::confirmed:
        ++counts.by_hosts;
        break;
      case departure_state::announced:
        ++counts.by_answer;
        break;
    }
  }
  return counts;
}

bool backend_directory::ChangesWithTime(time_point now) const {
  return cold_.Count(now) > 0 || !departures_.empty() ||
         std::any_of(entries_.begin(), entries_.end(), [](const auto& current) {
           return current.second.usable_until.has_value();
         });
}

std::vector<usable_backend> backend_directory::Usable(time_point now) {
  std::erase_if(entries_, [now](const auto& current) {
    return current.second.usable_until && now >= *current.second.usable_until;
  });
  std::vector<usable_backend> usable;
  if (!evacuations_known_) {
    return usable;
  }
  usable.reserve(entries_.size());
  const bool none_leaves = departures_.empty();
  for (const auto& [id, current] : entries_) {
    const departure_state leaving =
        none_leaves ? departure_state::none
                    : departures_.StateOf(current.entry.instance());
    if (!current.entry.draining && TakesNewWork(leaving) &&
        !evacuated_zones_.contains(current.entry.zone)) {
      usable.push_back({current.entry, current.usable_until.has_value(),
                        leaving == departure_state::claimed,
                        IsCold(current.entry, now)});
    }
  }
  return usable;
}

}  // namespace cardamomyard
