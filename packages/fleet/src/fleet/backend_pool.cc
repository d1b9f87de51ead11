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
  backends_ = std::move(backends);
  std::erase_if(health_, [this](const auto& item) {
    return !Find(item.first).has_value();
  });
}

void backend_pool::SetPeerLoads(const std::string& host,
                                std::vector<backend_load> loads) {
  auto& peer_loads = peers_[host];
  peer_loads.clear();
  for (backend_load& load : loads) {
    peer_loads[std::move(load.backend)] = {load.online, load.batch};
  }
}

void backend_pool::RemovePeer(const std::string& host) {
  peers_.erase(host);
}

void backend_pool::RecordStart(const std::string& backend, work_class work) {
  ++Count(own_[backend], work);
}

void backend_pool::RecordEnd(const std::string& backend, work_class work) {
  const auto found = own_.find(backend);
  if (found == own_.end()) {
    return;
  }
  --Count(found->second, work);
  if (found->second == counts{}) {
    own_.erase(found);
  }
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
  health_.erase(backend);
}

std::vector<backend_status> backend_pool::Status(const std::string& service,
                                                 time_point now) const {
  std::vector<backend_status> statuses;
  for (const usable_backend& usable : backends_) {
    if (usable.entry.service != service) {
      continue;
    }
    const std::string& id = usable.entry.id;
    backend_status status;
    status.entry = usable.entry;
    status.unregistered = usable.unregistered;
    status.may_leave = usable.may_leave;
    if (const auto own = own_.find(id); own != own_.end()) {
      status.own_online = own->second.online;
      status.own_batch = own->second.batch;
    }
    status.online = status.own_online;
    status.batch = status.own_batch;
    for (const auto& [host, loads] : peers_) {
      if (const auto load = loads.find(id); load != loads.end()) {
        status.online += load->second.online;
        status.batch += load->second.batch;
        if (load->second.batch > 0) {
          status.peer_batch.emplace_back(host, load->second.batch);
        }
      }
    }
    const auto known = health_.find(id);
    status.in_backoff =
        known != health_.end() && now < known->second.backoff_until;
    statuses.push_back(std::move(status));
  }
  return statuses;
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
  for (const auto& [id, own] : own_) {
    loads.push_back({id, own.online, own.batch});
  }
  return loads;
}

}  // namespace cardamomyard
