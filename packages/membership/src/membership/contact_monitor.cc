#include "src/membership/contact_monitor.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace cardamomyard {

void contact_monitor::SetKnownPeers(std::set<std::string> known) {
  known_ = std::move(known);
  std::erase_if(peers_,
                [this](const auto& p) { return !known_.contains(p.first); });
}

void contact_monitor::RecordStoreRead(time_point started) {
  own_read_ = std::max(own_read_.value_or(started), started);
}

void contact_monitor::RecordAttestation(const std::string& peer,
                                        const attestation& said,
                                        time_point sent) {
  if (!known_.contains(peer)) {
    return;
  }
  if (said.store_contact_age) {
    RecordRelayedRead(sent - *said.store_contact_age);
  }
  const auto [it, added] = peers_.try_emplace(peer, evidence{said, sent});
  if (!added && it->second.sent <= sent) {
    it->second = {said, sent};
  }
}

void contact_monitor::RecordRelayedRead(time_point read) {
  relayed_read_ = std::max(relayed_read_.value_or(read), read);
}

void contact_monitor::StopEvidenceFor(const std::string& host) {
  no_evidence_for_.insert(host);
}

void contact_monitor::ResumeEvidenceFor(const std::string& host) {
  no_evidence_for_.erase(host);
}

bool contact_monitor::GivesEvidenceFor(const std::string& host) const {
  return !no_evidence_for_.contains(host);
}

time_point contact_monitor::RelayedUntil() const {
  return relayed_read_ ? *relayed_read_ + window_ : time_point::min();
}

// Half of the others and this process form a majority, so two processes that
// both see an outage share at least one witness. With nobody else known there
// is no evidence.
time_point contact_monitor::OutageUntil(time_point now) const {
  std::vector<time_point> sent;
  for (const auto& [peer, e] : peers_) {
    if (e.sent + window_ <= now || e.sent > now) {
      continue;
    }
    if (!e.said.store_unreachable) {
      return time_point::min();
    }
    if (!e.said.excluded_as_evidence) {
      sent.push_back(e.sent);
    }
  }
  const std::size_t needed = (known_.size() + 1) / 2;
  if (needed == 0 || sent.size() < needed) {
    return time_point::min();
  }
  std::ranges::sort(sent, std::greater<>());
  return sent[needed - 1] + window_;
}

contact_state contact_monitor::State(time_point now) const {
  if (own_read_ && now < *own_read_ + window_) {
    return contact_state::store_contact;
  }
  if (now < RelayedUntil()) {
    return contact_state::relayed_contact;
  }
  return now < OutageUntil(now) ? contact_state::outage
                                : contact_state::isolated;
}

bool contact_monitor::HasContact(time_point now) const {
  return State(now) != contact_state::isolated;
}

time_point contact_monitor::ContactUntil(time_point now) const {
  time_point until = std::max(RelayedUntil(), OutageUntil(now));
  if (own_read_) {
    until = std::max(until, *own_read_ + window_);
  }
  return until;
}

}  // namespace cardamomyard
