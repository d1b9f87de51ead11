#include "src/membership/departure_registry.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

constexpr int kConfirmingHosts = 2;

/// \returns whether \p server is the instance that \p left, or an earlier one
/// of the same id, which an outdated registration may name.
bool Covers(const backend_instance& left, const backend_instance& server) {
  if (left.id != server.id) {
    return false;
  }
  const bool is_same = left.started_unix_ms != 0 && server.started_unix_ms != 0
                           ? left.started_unix_ms == server.started_unix_ms
                           : left.address == server.address;
  return is_same || server.revision <= left.revision;
}

}  // namespace

bool departure_registry::Announce(const backend_instance& server,
                                  time_point now) {
  const auto [known, added] =
      announced_.try_emplace(server.id, announcement{server, now, false});
  if (added) {
    return true;
  }
  if (Covers(known->second.instance, server)) {
    return false;
  }
  known->second = {server, now, false};
  return true;
}

std::vector<departure> departure_registry::SetClaims(
    const std::string& host,
    std::vector<departure> claims) {
  std::map<std::string, departure> named;
  for (departure& claim : claims) {
    std::string id = claim.instance.id;
    named.insert_or_assign(std::move(id), std::move(claim));
  }
  std::vector<departure> added;
  const auto previous = claims_.find(host);
  for (const auto& [id, claim] : named) {
    const bool is_known =
        previous != claims_.end() && previous->second.contains(id) &&
        Covers(previous->second.at(id).instance, claim.instance);
    if (!is_known) {
      added.push_back(claim);
    }
  }
  if (named.empty()) {
    claims_.erase(host);
  } else {
    claims_[host] = std::move(named);
  }
  return added;
}

bool departure_registry::AddClaim(const std::string& host, departure claim) {
  auto& named = claims_[host];
  const auto known = named.find(claim.instance.id);
  if (known != named.end() && Covers(known->second.instance, claim.instance)) {
    return false;
  }
  std::string id = claim.instance.id;
  named.insert_or_assign(std::move(id), std::move(claim));
  return true;
}

void departure_registry::RecordRemoved(const std::string& id) {
  const auto known = announced_.find(id);
  if (known != announced_.end()) {
    known->second.removed = true;
  }
}

void departure_registry::KeepClaimsOf(
    const std::function<bool(const std::string& host)>& is_known) {
  std::erase_if(
      claims_, [&is_known](const auto& item) { return !is_known(item.first); });
}

void departure_registry::EndReplaced(
    const backend_instance& registered,
    const std::function<bool(const std::string& id)>& is_listed) {
  std::erase_if(announced_, [&](const auto& item) {
    const backend_instance& left = item.second.instance;
    if (left.id == registered.id) {
      const bool is_anew = item.second.removed && left.started_unix_ms == 0 &&
                           left.revision < registered.revision;
      return is_anew || !Covers(left, registered);
    }
    return left.address == registered.address &&
           left.revision < registered.revision && !is_listed(left.id);
  });
  while (announced_.size() > kMaxUnlisted) {
    auto oldest = announced_.end();
    for (auto it = announced_.begin(); it != announced_.end(); ++it) {
      const bool is_older =
          oldest == announced_.end() || it->second.at < oldest->second.at;
      if (is_older && !is_listed(it->first)) {
        oldest = it;
      }
    }
    if (oldest == announced_.end()) {
      break;
    }
    announced_.erase(oldest);
  }
}

departure_state departure_registry::StateOf(
    const backend_instance& server) const {
  const auto known = announced_.find(server.id);
  if (known != announced_.end() && Covers(known->second.instance, server)) {
    return departure_state::announced;
  }
  int hosts = 0;
  for (const auto& [host, named] : claims_) {
    const auto claim = named.find(server.id);
    if (claim != named.end() && Covers(claim->second.instance, server)) {
      ++hosts;
    }
  }
  if (hosts >= kConfirmingHosts) {
    return departure_state::confirmed;
  }
  return hosts > 0 ? departure_state::claimed : departure_state::none;
}

std::vector<departure> departure_registry::Announced(time_point now) const {
  std::vector<departure> all;
  all.reserve(announced_.size());
  for (const auto& [id, known] : announced_) {
    all.push_back(
        {known.instance, std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - known.at)});
  }
  return all;
}

bool departure_registry::empty() const {
  return announced_.empty() &&
         std::all_of(claims_.begin(), claims_.end(),
                     [](const auto& host) { return host.second.empty(); });
}

}  // namespace cardamomyard
