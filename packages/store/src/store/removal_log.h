#ifndef CARDAMOMYARD_STORE_REMOVAL_LOG_H_
#define CARDAMOMYARD_STORE_REMOVAL_LOG_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamomyard {

/// \brief Which records were removed lately, so that a host can tell a peer
/// what has changed instead of everything.
class removal_log {
 public:
  /// Bounds the memory; peers that are further behind are sent everything.
  static constexpr std::size_t kMaxRemovals = 2000;

  /// Begins anew with a complete list as of \p revision.
  void Reset(std::uint64_t revision) {
    complete_since_ = revision;
    removals_.clear();
  }
  /// Records a removal; revisions don't decrease.
  void Add(std::string name, std::uint64_t revision) {
    removals_.emplace_back(revision, std::move(name));
    if (removals_.size() > kMaxRemovals) {
      complete_since_ = std::max(complete_since_, removals_.front().first);
      removals_.pop_front();
    }
  }
  /// \returns what was removed after \p revision; nothing when that is no
  /// longer known.
  std::optional<std::vector<std::string>> Since(std::uint64_t revision) const {
    if (revision < complete_since_) {
      return std::nullopt;
    }
    std::vector<std::string> names;
    for (const auto& [at, name] : removals_) {
      if (at > revision) {
        names.push_back(name);
      }
    }
    return names;
  }

 private:
  std::uint64_t complete_since_ = 0;
  std::deque<std::pair<std::uint64_t, std::string>> removals_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STORE_REMOVAL_LOG_H_
