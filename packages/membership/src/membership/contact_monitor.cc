#include "src/membership/contact_monitor.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace cardamomyard {

void contact_monitor::SetKnownPeers(std::set<std::string> known) {
  known_peers_ = std::move(known);
  std::erase_if(attestations_, [this](const auto& peer) {
    return !known_peers_.contains(peer.first);
  });
}

void contact_monitor::RecordStoreRead(time_point started) {
  last_own_read_ = std::max(last_own_read_.value_or(started), started);
}

void contact_monitor::RecordAttestation(const std::string& peer,
                                        const attestation& statement,
                                        time_point sent) {
  if (!known_peers_.contains(peer)) {
    return;
  }
  if (statement.store_contact_age) {
    RecordRelayedRead(sent - *statement.store_contact_age);
  }
  const auto [it, added] =
      attestations_.try_emplace(peer, evidence{statement, sent});
  if (!added && it->second.sent <= sent) {
    it->second = {statement, sent};
  }
}

void contact_monitor::RecordRelayedRead(time_point read) {
  last_relayed_read_ = std::max(last_relayed_read_.value_or(read), read);
}

void contact_monitor::StopEvidenceFor(const std::string& host) {
  excluded_hosts_.insert(host);
}

void contact_monitor::ResumeEvidenceFor(const std::string& host) {
  excluded_hosts_.erase(host);
}

bool contact_monitor::GivesEvidenceFor(const std::string& host) const {
  return !excluded_hosts_.contains(host);
}

time_point contact_monitor::RelayedContactUntil() const {
  return last_relayed_read_ ? *last_relayed_read_ + window_ : time_point::min();
}

// Half of the peers and this process form a majority, so the evidence of any
// two processes that see an outage has at least one process in common. Without
// known peers there is no evidence.
time_point contact_monitor::OutageUntil(time_point now) const {
  std::vector<time_point> sent_times;
  for (const auto& [peer, answer] : attestations_) {
    if (answer.sent + window_ <= now || answer.sent > now) {
      continue;
    }
    if (!answer.statement.store_unreachable) {
      return time_point::min();
    }
    if (!answer.statement.excluded_as_evidence) {
      sent_times.push_back(answer.sent);
    }
  }
  const std::size_t needed_answers = (known_peers_.size() + 1) / 2;
  if (needed_answers == 0 || sent_times.size() < needed_answers) {
    return time_point::min();
  }
  std::ranges::sort(sent_times, std::greater<>());
  return sent_times[needed_answers - 1] + window_;
}

contact_state contact_monitor::State(time_point now) const {
  if (last_own_read_ && now < *last_own_read_ + window_) {
    return contact_state::store_contact;
  }
  if (now < RelayedContactUntil()) {
    return contact_state::relayed_contact;
  }
  return now < OutageUntil(now) ? contact_state::outage
                                : contact_state::isolated;
}

bool contact_monitor::HasContact(time_point now) const {
  return State(now) != contact_state::isolated;
}

time_point contact_monitor::ContactUntil(time_point now) const {
  time_point until = std::max(RelayedContactUntil(), OutageUntil(now));
  if (last_own_read_) {
    until = std::max(until, *last_own_read_ + window_);
  }
  return until;
}

}  // namespace cardamomyard
