#include "src/fleet/cold_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomyard {
namespace {

// A second, and a margin for requests that reach the server closer together
// than they were sent.
constexpr std::chrono::milliseconds kWindow{1050};
// The parts of two sets of admitters keep the limit together.
constexpr std::size_t kSetsOfAdmitters = 2;
// Bounds the memory for servers that are long gone.
constexpr std::size_t kMaxServers = 4096;

}  // namespace

bool cold_servers::Record(const cold_instance& server,
                          duration remaining,
                          source reported_by,
                          time_point now) {
  if (remaining <= duration::zero()) {
    return false;
  }
  const bool was_cold = IsCold(server, now);
  cold_time& known = until_[{server.id, server.started_unix_ms}];
  known.until = std::max<time_point>(known.until, now + remaining);
  if (reported_by == source::server) {
    known.until_by_server =
        std::max<time_point>(known.until_by_server, now + remaining);
  }
  return !was_cold;
}

bool cold_servers::IsCold(const cold_instance& server, time_point now) const {
  const auto found = until_.find({server.id, server.started_unix_ms});
  return found != until_.end() && now < found->second.until;
}

std::vector<cold_servers::remaining_time> cold_servers::Remaining(
    time_point now) {
  std::erase_if(until_,
                [now](const auto& known) { return now >= known.second.until; });
  std::vector<remaining_time> remaining;
  for (const auto& [instance, known] : until_) {
    if (now < known.until_by_server) {
      remaining.push_back({{instance.first, instance.second},
                           std::chrono::ceil<std::chrono::milliseconds>(
                               known.until_by_server - now)});
    }
  }
  return remaining;
}

std::size_t cold_servers::Count(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      until_.begin(), until_.end(),
      [now](const auto& known) { return now < known.second.until; }));
}

cold_admission::cold_admission(std::string self, cold_bounds bounds)
    : self_(std::move(self)), bounds_(bounds) {
  ranks_.SetHosts({self_});
}

std::size_t cold_admission::Part(double rate_per_s) const {
  const double limit = rate_per_s * bounds_.overage + bounds_.slack;
  const auto parts = static_cast<double>(kSetsOfAdmitters * kAdmitters);
  return static_cast<std::size_t>(std::max(0.0, std::floor(limit / parts)));
}

bool cold_admission::IsAdmitter(const std::string& backend) {
  if (!hears_majority_ || withdrawn_) {
    return false;
  }
  const top_hosts& top = ranks_.Of(backend);
  return top.first == self_ || top.second == self_;
}

void cold_admission::SetGateways(std::vector<std::string> heard,
                                 std::size_t known,
                                 time_point now) {
  const bool hears_majority = 2 * (heard.size() + 1) > known + 1;
  heard.push_back(self_);
  const std::uint64_t version = ranks_.version();
  ranks_.SetHosts(std::move(heard));
  if (version == ranks_.version() && hears_majority == hears_majority_) {
    return;
  }
  hears_majority_ = hears_majority;
  changed_at_ = now;
  for (auto& [backend, state] : servers_) {
    if (!IsAdmitter(backend)) {
      state.admitter_since.reset();
    } else if (!state.admitter_since) {
      state.admitter_since = now;
    }
  }
}

void cold_admission::Withdraw() {
  withdrawn_ = true;
  for (auto& [backend, state] : servers_) {
    state.admitter_since.reset();
  }
}

cold_admission::server_state& cold_admission::StateOf(
    const std::string& backend) {
  const auto found = servers_.find(backend);
  if (found != servers_.end()) {
    return found->second;
  }
  if (servers_.size() >= kMaxServers) {
    std::erase_if(servers_,
                  [](const auto& item) { return item.second.sent.empty(); });
  }
  server_state& state = servers_[backend];
  if (IsAdmitter(backend)) {
    // Nothing has changed since, so it has been the admitter at least so long.
    state.admitter_since = changed_at_;
  }
  return state;
}

bool cold_admission::MaySend(const std::string& backend,
                             double rate_per_s,
                             time_point now) {
  server_state& state = StateOf(backend);
  if (!state.admitter_since || now - *state.admitter_since < kSettlingTime) {
    return false;
  }
  while (!state.sent.empty() && now - state.sent.front() >= kWindow) {
    state.sent.pop_front();
  }
  return state.sent.size() < Part(rate_per_s);
}

bool cold_admission::Admit(const std::string& backend,
                           double rate_per_s,
                           time_point now) {
  if (!MaySend(backend, rate_per_s, now)) {
    return false;
  }
  StateOf(backend).sent.push_back(now);
  return true;
}

}  // namespace cardamomyard
