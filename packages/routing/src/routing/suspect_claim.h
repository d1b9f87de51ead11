#ifndef CARDAMOMYARD_ROUTING_SUSPECT_CLAIM_H_
#define CARDAMOMYARD_ROUTING_SUSPECT_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/base/clock.h"

namespace cardamomyard {

/// Result of the isolated runs of one round.
enum class claim_verdict { none, cleared, quarantined };

/// \brief Record of the object `suspect/<fingerprint>`: a lease on running the
/// suspect request in isolation, held by one process at a time.
struct suspect_claim {
  std::string holder;
  std::uint32_t round = 0;
  int runs = 0;  ///< Isolated runs started in this round.
  claim_verdict verdict = claim_verdict::none;
  wall_time expiry;

  friend bool operator==(const suspect_claim&, const suspect_claim&) = default;
};

/// The holder may run the request after writing this record, conditional on the
/// version that was read.
struct claim_granted {
  suspect_claim record;
};
/// Another process holds the claim; the request is refused as `quarantined`.
struct claim_held {};
/// The request was cleared in this round and runs normally.
struct claim_cleared {};
/// The request is quarantined and is refused.
struct claim_quarantined {};

using claim_decision =
    std::variant<claim_granted, claim_held, claim_cleared, claim_quarantined>;

/// \brief Decides whether \p holder may take the claim.
///
/// A claim that expires without a verdict counts as a lost run, since its
/// holder may have crashed together with the server. After the second lost run
/// the request is quarantined, so it costs a bounded number of servers even
/// when holders crash.
/// \param current  the object as read, or nothing if there is none.
/// \param round  round of the fingerprint. \sa crash_suspects::Round
/// \param lifetime  longest duration of an isolated run.
claim_decision DecideClaim(const std::optional<suspect_claim>& current,
                           const std::string& holder,
                           std::uint32_t round,
                           wall_time now,
                           std::chrono::milliseconds lifetime);

/// \returns the record that ends a claim with a verdict, kept for an hour.
suspect_claim EndClaim(suspect_claim claim,
                       bool server_survived,
                       wall_time now);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_SUSPECT_CLAIM_H_
