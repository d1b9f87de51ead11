#include "src/fleet/service_map.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {

result<service_map> service_map::Make(service_map_parts parts) {
  for (const service_route& route : parts.routes) {
    const std::string& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
      return Fail(error_kind::invalid_request,
                  "route " + route.name + ": the path prefix \"" + prefix +
                      "\" does not begin and end with a slash");
    }
    if (route.services.empty()) {
      return Fail(error_kind::invalid_request,
                  "route " + route.name + " names no service");
    }
  }
  service_map map(std::move(parts));
  for (const auto& [key, account] : map.parts_.account_of_key) {
    if (!map.account_index_.contains(account)) {
      return Fail(error_kind::invalid_request,
                  "a key belongs to the unknown account " + account);
    }
  }
  return map;
}

service_map::service_map(service_map_parts parts) : parts_(std::move(parts)) {
  for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
    by_host_[parts_.routes[i].host].push_back(i);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [this](std::size_t a, std::size_t b) {
                       return parts_.routes[a].path_prefix.size() >
                              parts_.routes[b].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < parts_.accounts.size(); ++i) {
    account_index_[parts_.accounts[i].name] = i;
  }
}

const service_route* service_map::MatchRoute(std::string_view host,
                                             std::string_view path) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (path.starts_with(parts_.routes[index].path_prefix)) {
      return &parts_.routes[index];
    }
  }
  return nullptr;
}

const service_route* service_map::FindRoute(std::string_view name) const {
  const auto found = std::find_if(
      parts_.routes.begin(), parts_.routes.end(),
      [name](const service_route& route) { return route.name == name; });
  return found == parts_.routes.end() ? nullptr : &*found;
}

const service_account* service_map::AccountOfKey(const std::string& key) const {
  const auto found = parts_.account_of_key.find(key);
  return found == parts_.account_of_key.end() ? nullptr
                                              : FindAccount(found->second);
}

const service_account* service_map::FindAccount(const std::string& name) const {
  const auto found = account_index_.find(name);
  return found == account_index_.end() ? nullptr
                                       : &parts_.accounts[found->second];
}

double service_map::ColdRate(const std::string& service) const {
  const auto found = parts_.cold_rates.find(service);
  return found == parts_.cold_rates.end() ? 0 : found->second;
}

allowed_zones AllowedZones(
    const service_route& route,
    const service_account* account,
    const std::map<std::string, std::string>& region_of_zone) {
  static const std::set<std::string> everywhere;
  const auto& by_account =
      account != nullptr ? account->allowed_regions : everywhere;
  if (route.allowed_regions.empty() && by_account.empty()) {
    return std::nullopt;
  }
  const auto allows = [](const std::set<std::string>& regions,
                         const std::string& region) {
    return regions.empty() || regions.contains(region);
  };
  std::set<std::string> zones;
  for (const auto& [zone, region] : region_of_zone) {
    if (allows(route.allowed_regions, region) && allows(by_account, region)) {
      zones.insert(zone);
    }
  }
  return zones;
}

}  // namespace cardamomyard
