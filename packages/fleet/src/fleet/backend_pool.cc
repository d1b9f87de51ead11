#include "src/fleet/backend_pool.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// Doubles with each failure in a row. A crashed server is back after some
// seconds; a false alarm takes one server out of use for this long.
constexpr std::chrono::milliseconds kInitialBackoff{400};
constexpr std::chrono::milliseconds kMaxBackoff{3000};
// About the time in which a full server completes a request.
constexpr std::chrono::milliseconds kOverloadBackoff{80};

int& Count(auto& counts, work_class work) {
  return work == work_class::online ? counts.online : counts.batch;
}

}  // namespace

void backend_pool::SetBackends(std::vector<usable_backend> backends) {
  if (backends == backends_) {
    return;
  }
  backends_ = std::move(backends);
  Rebuild();
  std::erase_if(health_, [this](const auto& item) {
    return !Find(item.first).has_value();
  });
}

void backend_pool::Rebuild() {
  ++version_;
  std::unordered_map<std::string, double> speeds;
  for (const auto& [service, statuses] : services_) {
    for (const backend_status& status : statuses) {
      speeds[status.entry.id] = status.speed;
    }
  }
  services_.clear();
  for (auto& [id, load] : loads_) {
    load.status = nullptr;
  }
  for (const usable_backend& usable : backends_) {
    backend_status& status =
        services_[usable.entry.service].emplace_back(backend_status{});
    status.entry = usable.entry;
    status.unregistered = usable.unregistered;
    status.may_leave = usable.may_leave;
    status.cold = usable.cold;
    if (const auto known = speeds.find(status.entry.id);
        known != speeds.end()) {
      status.speed = known->second;
    }
  }
  // Only now do the statuses keep their addresses.
  for (auto& [service, statuses] : services_) {
    for (backend_status& status : statuses) {
      loads_[status.entry.id].status = &status;
      ApplyLoad(status.entry.id);
    }
  }
  std::erase_if(loads_, [](const auto& item) {
    const server_load& load = item.second;
    return load.status == nullptr && load.own == counts{} &&
           load.peers == counts{};
  });
}

void backend_pool::ApplyLoad(const std::string& backend) {
  const auto found = loads_.find(backend);
  const server_load& load = found->second;
  if (load.status == nullptr) {
    if (load.own == counts{} && load.peers == counts{}) {
      loads_.erase(found);
    }
    return;
  }
  load.status->own_online = load.own.online;
  load.status->own_batch = load.own.batch;
  load.status->online = load.own.online + load.peers.online;
  load.status->batch = load.own.batch + load.peers.batch;
  load.status->peer_batch = load.peer_batch;
}

void backend_pool::AddPeerLoad(const std::string& host,
                               const backend_load& load,
                               int sign) {
  server_load& total = loads_[load.backend];
  total.peers.online += sign * load.online;
  total.peers.batch += sign * load.batch;
  if (sign > 0 && load.batch > 0) {
    total.peer_batch.emplace_back(host, load.batch);
  } else if (sign < 0) {
    std::erase_if(total.peer_batch,
                  [&host](const auto& item) { return item.first == host; });
  }
}

void backend_pool::SetPeerLoads(const std::string& host,
                                std::vector<backend_load> loads) {
  std::vector<backend_load>& current = peers_[host];
  // Most entries of a digest repeat those of the last one.
  std::vector<backend_load> gone;
  std::vector<backend_load> added;
  const auto by_id = [](const backend_load& a, const backend_load& b) {
    return a.backend < b.backend;
  };
  std::stable_sort(loads.begin(), loads.end(), by_id);
  // A digest names each server once; of several entries the first one counts.
  loads.erase(std::unique(loads.begin(), loads.end(),
                          [](const auto& a, const auto& b) {
                            return a.backend == b.backend;
                          }),
              loads.end());
  auto before = current.begin();
  auto after = loads.begin();
  while (before != current.end() || after != loads.end()) {
    if (after == loads.end() ||
        (before != current.end() && by_id(*before, *after))) {
      gone.push_back(*before++);
    } else if (before == current.end() || by_id(*after, *before)) {
      added.push_back(*after++);
    } else {
      if (*before != *after) {
        gone.push_back(*before);
        added.push_back(*after);
      }
      ++before;
      ++after;
    }
  }
  for (const backend_load& load : gone) {
    AddPeerLoad(host, load, -1);
  }
  for (const backend_load& load : added) {
    AddPeerLoad(host, load, 1);
  }
  for (const auto* changed : {&gone, &added}) {
    for (const backend_load& load : *changed) {
      if (loads_.contains(load.backend)) {
        ApplyLoad(load.backend);
      }
    }
  }
  current = std::move(loads);
}

void backend_pool::RemovePeer(const std::string& host) {
  SetPeerLoads(host, {});
  peers_.erase(host);
}

void backend_pool::RecordStart(const std::string& backend, work_class work) {
  ++Count(loads_[backend].own, work);
  own_.insert(backend);
  ApplyLoad(backend);
}

void backend_pool::RecordEnd(const std::string& backend, work_class work) {
  const auto found = loads_.find(backend);
  if (found == loads_.end() || Count(found->second.own, work) == 0) {
    return;
  }
  --Count(found->second.own, work);
  if (found->second.own == counts{}) {
    own_.erase(backend);
  }
  ApplyLoad(backend);
}

void backend_pool::RecordFailure(const std::string& backend, time_point now) {
  health& state = health_[backend];
  const auto backoff_time =
      std::min(kMaxBackoff, kInitialBackoff * (1 << state.failures));
  state.failures = std::min(state.failures + 1, 8);
  state.backoff_until = now + backoff_time;
}

void backend_pool::RecordOverload(const std::string& backend, time_point now) {
  health& state = health_[backend];
  state.backoff_until = std::max(state.backoff_until, now + kOverloadBackoff);
}

void backend_pool::RecordSuccess(const std::string& backend) {
  if (health_.erase(backend) == 0) {
    return;
  }
  if (const auto load = loads_.find(backend);
      load != loads_.end() && load->second.status != nullptr) {
    load->second.status->in_backoff = false;
  }
}

void backend_pool::SetSpeeds(
    const std::function<double(const backend_entry&)>& speed_of) {
  for (auto& [service, statuses] : services_) {
    for (backend_status& status : statuses) {
      status.speed = speed_of(status.entry);
    }
  }
}

const std::vector<backend_status>& backend_pool::Status(
    const std::string& service,
    time_point now) {
  static const std::vector<backend_status> none;
  // Few servers have failed at any time.
  for (const auto& [id, state] : health_) {
    if (const auto load = loads_.find(id);
        load != loads_.end() && load->second.status != nullptr) {
      load->second.status->in_backoff = now < state.backoff_until;
    }
  }
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second;
}

std::optional<backend_entry> backend_pool::Find(
    const std::string& backend) const {
  const auto found = std::find_if(backends_.begin(), backends_.end(),
                                  [&backend](const usable_backend& usable) {
                                    return usable.entry.id == backend;
                                  });
  if (found == backends_.end()) {
    return std::nullopt;
  }
  return found->entry;
}

std::vector<backend_load> backend_pool::OwnLoads() const {
  std::vector<backend_load> loads;
  loads.reserve(own_.size());
  for (const std::string& id : own_) {
    const counts& own = loads_.at(id).own;
    loads.push_back({id, own.online, own.batch});
  }
  return loads;
}

}  // namespace cardamomyard
