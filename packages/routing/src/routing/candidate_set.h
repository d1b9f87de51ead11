#ifndef CARDAMOMYARD_ROUTING_CANDIDATE_SET_H_
#define CARDAMOMYARD_ROUTING_CANDIDATE_SET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/routing/backend_candidate.h"

namespace cardamomyard {
namespace internal {

/// A point of the hash ring and the candidate that owns it.
using ring_point = std::pair<std::uint64_t, std::uint32_t>;
using hash_ring = std::vector<ring_point>;

}  // namespace internal

/// \brief Immutable snapshot of the candidates of one deployment.
///
/// Rendezvous hashing per request hashes every server, which is linear. A
/// Maglev table answers in constant time but gives only one server a key and
/// moves some keys of unaffected servers at each change. A hash ring with a
/// fixed number of points for each server costs a binary search, gives any
/// number of distinct servers and moves only the keys of the server that
/// joined or left; its shares are less even, which matters little since the
/// lowest wait among several candidates decides.
///
/// The ring depends on the ids alone, so a snapshot with the same ids and newer
/// reports shares it with its predecessor.
class candidate_set {
 public:
  /// \param candidates  the backend servers, in any order; the first of several
  /// with the same id counts.
  /// \param previous  the snapshot that this one replaces, or null.
  static std::shared_ptr<const candidate_set> Make(
      std::vector<backend_candidate> candidates,
      const candidate_set* previous = nullptr);

  /// \brief The candidates in the order of their ids.
  std::span<const backend_candidate> candidates() const { return candidates_; }
  std::size_t size() const { return candidates_.size(); }
  bool shares_ring_with(const candidate_set& other) const {
    return ring_ == other.ring_;
  }

  /// \returns indexes of at most \p count distinct candidates that follow
  /// \p key on the ring and are not in \p excluded.
  std::vector<std::size_t> RingSuccessors(
      std::uint64_t key,
      std::size_t count,
      std::span<const std::string> excluded) const;

  /// \returns the index of the first candidate from \p start on, cyclically,
  /// that is not in \p excluded.
  std::optional<std::size_t> FirstAllowedFrom(
      std::size_t start,
      std::span<const std::string> excluded) const;

 private:
  candidate_set() = default;

  std::vector<backend_candidate> candidates_;
  std::shared_ptr<const internal::hash_ring> ring_;
};

namespace internal {

/// \returns whether \p id is in \p excluded, which holds a few names.
bool IsExcluded(std::string_view id, std::span<const std::string> excluded);

}  // namespace internal
}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_CANDIDATE_SET_H_
