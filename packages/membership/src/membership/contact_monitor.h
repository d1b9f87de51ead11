#ifndef CARDAMOMYARD_MEMBERSHIP_CONTACT_MONITOR_H_
#define CARDAMOMYARD_MEMBERSHIP_CONTACT_MONITOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// How long one piece of evidence gives contact.
inline constexpr duration kContactWindow = std::chrono::seconds(5);

enum class contact_state { store_contact, relayed_contact, outage, isolated };

/// \brief What a peer said about its own contact with the store.
struct attestation {
  /// Age of the peer's last own store read; nothing if it has none.
  std::optional<duration> store_contact_age;
  bool store_unreachable = false;
  /// The peer promised not to serve as outage evidence for this process.
  bool excluded_as_evidence = false;
};

/// \brief Tells a store outage from the isolation of this process.
///
/// All evidence carries the time before which it was certainly true, so a
/// pause of any length ends contact without being noticed separately. The
/// caller must apply the configuration and tables that came with a read or
/// an attestation before it reports that evidence.
class contact_monitor {
 public:
  contact_monitor() = default;
  explicit contact_monitor(duration window) : window_(window) {}

  /// \param known  the other processes, without this one.
  void SetKnownPeers(std::set<std::string> known);
  /// \param started  when the read that succeeded was sent.
  void RecordStoreRead(time_point started);
  /// \param sent  when the request that \p said answers was sent.
  void RecordAttestation(const std::string& peer,
                         const attestation& said,
                         time_point sent);
  /// \brief Takes the word of a process that is not among the known ones.
  /// \param read  a time before which its read of the store was not sent.
  void RecordRelayedRead(time_point read);
  /// \brief Promises not to serve as outage evidence for \p host any more.
  void StopEvidenceFor(const std::string& host);
  /// \brief Ends the promise, for instance when the host is in the table
  /// again.
  void ResumeEvidenceFor(const std::string& host);
  /// \returns whether the attestation to \p host may count as evidence (c).
  bool GivesEvidenceFor(const std::string& host) const;

  contact_state State(time_point now) const;
  bool HasContact(time_point now) const;
  /// \returns until when the evidence at hand gives contact; not after
  /// \p now when there is none.
  time_point ContactUntil(time_point now) const;

 private:
  struct evidence {
    attestation said;
    time_point sent;
  };

  time_point RelayedUntil() const;
  time_point OutageUntil(time_point now) const;

  duration window_ = kContactWindow;
  std::set<std::string> known_;
  std::set<std::string> no_evidence_for_;
  std::optional<time_point> own_read_;
  std::optional<time_point> relayed_read_;
  std::map<std::string, evidence> peers_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_CONTACT_MONITOR_H_
