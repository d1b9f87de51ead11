#ifndef CARDAMOMYARD_ROUTING_SUSPECT_CLAIM_H_
#define CARDAMOMYARD_ROUTING_SUSPECT_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/base/clock.h"

namespace cardamomyard {

enum class claim_verdict { none, cleared, quarantined };

/// \brief The object `suspect/<fingerprint>`: the right to the one isolated
/// run.
struct suspect_claim {
  std::string holder;
  std::uint32_t round = 0;
  int runs = 0;  ///< Isolated runs started in this round.
  claim_verdict verdict = claim_verdict::none;
  wall_time expiry;

  friend bool operator==(const suspect_claim&, const suspect_claim&) = default;
};

/// Write this record under the version that was read, then run.
struct claim_granted {
  suspect_claim record;
};
/// Another process holds the claim; refuse with `quarantined`.
struct claim_held {};
/// The request was cleared in this round; run it normally.
struct claim_cleared {};
/// The request is convicted; refuse it.
struct claim_quarantined {};

using claim_decision =
    std::variant<claim_granted, claim_held, claim_cleared, claim_quarantined>;

/// \brief Decides whether \p holder may take the claim.
///
/// A claim that lapsed without a verdict counts as a lost run: its holder may
/// have died together with the server. One such run is allowed, the second
/// convicts, so a request costs a bounded number of servers even when holders
/// die.
/// \param current  the object as read, or nothing.
/// \param round  the round of the fingerprint. \sa crash_suspects::Round
/// \param lifetime  longest time of an isolated run.
claim_decision DecideClaim(const std::optional<suspect_claim>& current,
                           const std::string& holder,
                           std::uint32_t round,
                           wall_time now,
                           std::chrono::milliseconds lifetime);

/// \returns the record that ends a claim. A conviction stays for an hour.
suspect_claim EndClaim(suspect_claim claim,
                       bool server_survived,
                       wall_time now);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_SUSPECT_CLAIM_H_
