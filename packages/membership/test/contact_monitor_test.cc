#include <gtest/gtest.h>

#include "cardamomyard/membership.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr attestation kUnreachable{std::nullopt, true, false};

// A paused process could resume with evidence from before the pause.
TEST(ContactMonitorTest, Rule06_ContactLapsesOverAPause) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b"});
  monitor.RecordStoreRead(kStart);
  EXPECT_EQ(monitor.State(kStart + seconds(4)), contact_state::store_contact);
  EXPECT_FALSE(monitor.HasContact(kStart + seconds(5)));
}

// A slow answer could make an old read of the store look recent.
TEST(ContactMonitorTest, Rule06_AttestationsAgeFromTheRequest) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b"});
  monitor.RecordAttestation("b", {seconds(2), false, false}, kStart);
  EXPECT_EQ(monitor.State(kStart + milliseconds(2999)),
            contact_state::relayed_contact);
  EXPECT_FALSE(monitor.HasContact(kStart + seconds(3)));
}

// A few isolated processes could mistake their isolation for a store outage.
TEST(ContactMonitorTest, Rule06_OutageNeedsHalfOfThePeersAndNoContradiction) {
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

// A host could see an outage through peers that have agreed to remove it.
TEST(ContactMonitorTest, Rule06_ExcludedPeersAreNoEvidence) {
  contact_monitor monitor;
  monitor.SetKnownPeers({"b"});
  monitor.RecordAttestation("b", {std::nullopt, true, true}, kStart);
  EXPECT_EQ(monitor.State(kStart), contact_state::isolated);
  monitor.StopEvidenceFor("x");
  EXPECT_FALSE(monitor.GivesEvidenceFor("x"));
  monitor.ResumeEvidenceFor("x");
  EXPECT_TRUE(monitor.GivesEvidenceFor("x"));
}

// A single process could count itself as a majority.
TEST(ContactMonitorTest, Rule06_ProcessWithoutPeersIsIsolated) {
  EXPECT_EQ(contact_monitor().State(kStart), contact_state::isolated);
}

}  // namespace
}  // namespace cardamomyard
