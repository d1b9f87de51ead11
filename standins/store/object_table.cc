#include "store/object_table.h"

namespace cardamomyard::standins {

const stored_object* object_table::Get(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? nullptr : &found->second;
}

std::uint64_t object_table::VersionOf(const std::string& key) const {
  const stored_object* object = Get(key);
  return object == nullptr ? 0 : object->version;
}

std::optional<std::uint64_t> object_table::Put(
    const std::string& key,
    std::string value,
    std::optional<std::uint64_t> expected) {
  if (expected && *expected != VersionOf(key)) {
    return std::nullopt;
  }
  objects_[key] = stored_object{std::move(value), ++last_version_};
  return last_version_;
}

bool object_table::Delete(const std::string& key,
                          std::optional<std::uint64_t> expected) {
  const auto found = objects_.find(key);
  if (found == objects_.end() ||
      (expected && *expected != found->second.version)) {
    return false;
  }
  objects_.erase(found);
  ++last_version_;
  return true;
}

std::pair<object_table::page, bool> object_table::List(
    const std::string& prefix,
    const std::string& start_after,
    std::size_t limit) const {
  page found;
  auto at = start_after >= prefix ? objects_.upper_bound(start_after)
                                  : objects_.lower_bound(prefix);
  for (; at != objects_.end() && at->first.starts_with(prefix); ++at) {
    if (found.size() == limit) {
      return {std::move(found), true};
    }
    found.emplace_back(at->first, at->second.version);
  }
  return {std::move(found), false};
}

}  // namespace cardamomyard::standins
