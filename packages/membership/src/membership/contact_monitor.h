#ifndef CARDAMOMYARD_MEMBERSHIP_CONTACT_MONITOR_H_
#define CARDAMOMYARD_MEMBERSHIP_CONTACT_MONITOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// How long one piece of evidence proves contact.
inline constexpr duration kContactWindow = std::chrono::seconds(5);

enum class contact_state { store_contact, relayed_contact, outage, isolated };

/// \brief What a peer reports about its own contact with the store.
struct attestation {
  /// Age of the peer's own last read of the store; empty if there is none.
  std::optional<duration> store_contact_age;
  bool store_unreachable = false;
  /// The peer has promised not to serve as outage evidence for this process.
  bool excluded_as_evidence = false;
};

/// \brief Distinguishes an outage of the store from the isolation of this
/// process.
///
/// A process has contact while it has evidence that it is not isolated: (a) its
/// own read of the store, (b) a read by another process, or (c) attestations of
/// half of its peers, and none to the contrary, that the store is unreachable.
/// Each piece of evidence is dated at the earliest time that it can stem from
/// and expires one contact window later, so contact ends during a pause of any
/// length without the pause being detected. The caller must apply the
/// configuration and tables that came with a read or an attestation before it
/// reports that evidence.
class contact_monitor {
 public:
  contact_monitor() = default;
  explicit contact_monitor(duration window) : window_(window) {}

  /// \param known  all known processes except this one.
  void SetKnownPeers(std::set<std::string> known);
  /// \param started  when the successful read was sent.
  void RecordStoreRead(time_point started);
  /// \param sent  when the request that \p statement answers was sent.
  void RecordAttestation(const std::string& peer,
                         const attestation& statement,
                         time_point sent);
  /// \brief Records a read of the store by any process, known or not.
  /// \param read  the earliest time at which the read can have been sent.
  void RecordRelayedRead(time_point read);
  /// \brief Promises to no longer serve as outage evidence for \p host.
  void StopEvidenceFor(const std::string& host);
  /// \brief Withdraws the promise, for instance when the host is in the share
  /// table again.
  void ResumeEvidenceFor(const std::string& host);
  /// \returns whether attestations to \p host may count as evidence (c).
  bool GivesEvidenceFor(const std::string& host) const;

  contact_state State(time_point now) const;
  bool HasContact(time_point now) const;
  /// \returns when the contact proved by the present evidence ends; not after
  /// \p now if there is no contact.
  time_point ContactUntil(time_point now) const;

 private:
  struct evidence {
    attestation statement;
    time_point sent;
  };

  time_point RelayedContactUntil() const;
  time_point OutageUntil(time_point now) const;

  duration window_ = kContactWindow;
  std::set<std::string> known_peers_;
  std::set<std::string> excluded_hosts_;
  std::optional<time_point> last_own_read_;
  std::optional<time_point> last_relayed_read_;
  std::map<std::string, evidence> attestations_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_CONTACT_MONITOR_H_
