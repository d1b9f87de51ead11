#include <gtest/gtest.h>

#include "cardamomyard/membership.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr attestation kUnreachable{std::nullopt, true, false};

// Guards against a paused process that goes on with evidence from before.
TEST(ContactMonitorTest, Rule06_ContactLapsesOverAPause) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b"});
  monitor.RecordStoreRead(kStart);
  EXPECT_EQ(monitor.State(kStart + seconds(4)), contact_state::store_contact);
  EXPECT_FALSE(monitor.HasContact(kStart + seconds(5)));
}

// Guards against a slow answer that makes old store contact look new.
TEST(ContactMonitorTest, Rule06_AttestationsAgeFromTheRequest) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b"});
  monitor.RecordAttestation("b", {seconds(2), false, false}, kStart);
  EXPECT_EQ(monitor.State(kStart + milliseconds(2999)),
            contact_state::relayed_contact);
  EXPECT_FALSE(monitor.HasContact(kStart + seconds(3)));
}

// Guards against taking the isolation of a few for an outage of the store.
TEST(ContactMonitorTest, Rule06_OutageNeedsHalfAndNoContrary) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b", "c", "d"});
  monitor.RecordAttestation("b", kUnreachable, kStart);
  EXPECT_EQ(monitor.State(kStart), contact_state::isolated);
  monitor.RecordAttestation("c", kUnreachable, kStart + seconds(1));
  EXPECT_EQ(monitor.State(kStart + seconds(1)), contact_state::outage);
  EXPECT_EQ(monitor.ContactUntil(kStart + seconds(1)), kStart + seconds(5));
  monitor.RecordAttestation("d", {seconds(9), false, false},
                            kStart + seconds(2));
  EXPECT_EQ(monitor.State(kStart + seconds(2)), contact_state::isolated);
}

// Guards against an outage seen by a host whose removal was agreed.
TEST(ContactMonitorTest, Rule06_PromisedPeersAreNoEvidence) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b"});
  monitor.RecordAttestation("b", {std::nullopt, true, true}, kStart);
  EXPECT_EQ(monitor.State(kStart), contact_state::isolated);
  monitor.StopEvidenceFor("x");
  EXPECT_FALSE(monitor.GivesEvidenceFor("x"));
  monitor.ResumeEvidenceFor("x");
  EXPECT_TRUE(monitor.GivesEvidenceFor("x"));
}

// Guards against a single process that takes itself for a majority.
TEST(ContactMonitorTest, Rule06_AloneIsIsolated) {
  EXPECT_EQ(contact_monitor().State(kStart), contact_state::isolated);
}

}  // namespace
}  // namespace cardamomyard
