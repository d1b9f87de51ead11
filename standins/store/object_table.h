#ifndef CARDAMOMYARD_STANDINS_STORE_OBJECT_TABLE_H_
#define CARDAMOMYARD_STANDINS_STORE_OBJECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamomyard::standins {

/// \brief One stored value with its version.
struct stored_object {
  std::string value;
  std::uint64_t version = 0;
};

/// \brief Objects in memory with versions from one increasing counter.
class object_table {
 public:
  using page = std::vector<std::pair<std::string, std::uint64_t>>;

  /// \returns the object, or nullptr.
  const stored_object* Get(const std::string& key) const;
  /// \returns the current version; 0 means absent.
  std::uint64_t VersionOf(const std::string& key) const;
  /// Replaces the object when its version is \p expected; no condition when
  /// \p expected is empty. \returns the new version, or nothing.
  std::optional<std::uint64_t> Put(const std::string& key,
                                   std::string value,
                                   std::optional<std::uint64_t> expected);
  /// \returns whether the condition held and the object existed.
  bool Delete(const std::string& key, std::optional<std::uint64_t> expected);
  /// \returns up to \p limit keys with that prefix after \p start_after, in
  /// order, and whether more follow.
  std::pair<page, bool> List(const std::string& prefix,
                             const std::string& start_after,
                             std::size_t limit) const;
  std::size_t size() const { return objects_.size(); }

 private:
  std::map<std::string, stored_object> objects_;
  std::uint64_t last_version_ = 0;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_STORE_OBJECT_TABLE_H_
