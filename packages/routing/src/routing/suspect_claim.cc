#include "src/routing/suspect_claim.h"

namespace cardamomyard {
namespace {

constexpr int kMaxIsolatedRuns = 2;
constexpr std::chrono::hours kVerdictLifetime{1};

}  // namespace

claim_decision DecideClaim(const std::optional<suspect_claim>& current,
                           const std::string& holder,
                           std::uint32_t round,
                           wall_time now,
                           std::chrono::milliseconds lifetime) {
  suspect_claim next{holder, round, 1, claim_verdict::none, now + lifetime};
  if (!current) {
    return claim_granted{next};
  }
  const bool expired = current->expiry <= now;
  switch (current->verdict) {
    case claim_verdict::quarantined:
      if (expired) {
        return claim_granted{next};
      }
      return claim_quarantined{};
    case claim_verdict::cleared:
      if (expired || round > current->round) {
        return claim_granted{next};
      }
      return claim_cleared{};
    case claim_verdict::none:
      break;
  }
  if (!expired) {
    return claim_held{};
  }
  if (now >= current->expiry + kVerdictLifetime) {
    return claim_granted{next};
  }
  if (current->runs >= kMaxIsolatedRuns) {
    return claim_quarantined{};
  }
  next.runs = current->runs + 1;
  return claim_granted{next};
}

suspect_claim EndClaim(suspect_claim claim,
                       bool server_survived,
                       wall_time now) {
  claim.verdict =
      server_survived ? claim_verdict::cleared : claim_verdict::quarantined;
  claim.expiry = now + kVerdictLifetime;
  return claim;
}

}  // namespace cardamomyard
