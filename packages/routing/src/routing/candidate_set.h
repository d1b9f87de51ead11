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

/// Point of the hash ring and the index of the candidate that owns it.
using ring_point = std::pair<std::uint64_t, std::uint32_t>;
using hash_ring = std::vector<ring_point>;

}  // namespace internal

/// \brief Immutable snapshot of the candidates of one deployment, with a
/// consistent hash ring over their ids.
///
/// Rendezvous hashing is linear in the number of servers for each request. A
/// Maglev table takes constant time, but maps a key to one server only and
/// remaps some keys of unaffected servers at each change. A hash ring with a
/// fixed number of points per server takes a binary search, yields any number
/// of distinct servers, and remaps only the keys of the server that joined or
/// left. Its shares are less even, which matters little because the router
/// takes the lowest wait among several candidates.
///
/// The ring depends only on the ids, so a snapshot with the same ids and newer
/// reports shares the ring of its predecessor.
class candidate_set {
 public:
  /// \param candidates  backend servers in any order; of several with the same
  /// id the first is kept.
  /// \param previous  snapshot that this one replaces, or null.
  static std::shared_ptr<const candidate_set> Make(
      std::vector<backend_candidate> candidates,
      const candidate_set* previous = nullptr);

  /// \brief Candidates, sorted by id.
  std::span<const backend_candidate> candidates() const { return candidates_; }
  std::size_t size() const { return candidates_.size(); }
  bool shares_ring_with(const candidate_set& other) const {
    return ring_ == other.ring_;
  }

  /// \returns indexes of at most \p count distinct candidates that are not in
  /// \p excluded, in ring order from \p key.
  std::vector<std::size_t> RingSuccessors(
      std::uint64_t key,
      std::size_t count,
      std::span<const std::string> excluded) const;

  /// \returns the index of the first candidate that is not in \p excluded,
  /// searched cyclically from \p start, or nothing if all are excluded.
  std::optional<std::size_t> FirstAllowedFrom(
      std::size_t start,
      std::span<const std::string> excluded) const;

 private:
  candidate_set() = default;

  std::vector<backend_candidate> candidates_;
  std::shared_ptr<const internal::hash_ring> ring_;
};

namespace internal {

/// \returns whether \p id is in \p excluded. Linear, since the list is short.
bool IsExcluded(std::string_view id, std::span<const std::string> excluded);

}  // namespace internal
}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_CANDIDATE_SET_H_
