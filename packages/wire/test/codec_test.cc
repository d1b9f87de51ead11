#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cardamomyard/wire.h"

namespace cardamomyard {
namespace {

// Guards against a field that is lost or shifted on the way.
RC_GTEST_PROP(CodecTest,
              HeartbeatIsReadBack,
              (const std::string& id, std::uint64_t digest)) {
  heartbeat message;
  message.id = id;
  message.prefix_digests = {digest, 1};
  message.state = 2;
  message.step_time = std::chrono::microseconds(1234);
  message.store_contact_age = std::chrono::milliseconds(5);
  message.suspects = {{digest, 1, std::chrono::milliseconds(7), 2}};
  message.batch_tokens = 1LL << 40;
  message.share_epoch = 4;
  message.answers_reply_time_us = 5;
  message.answers_incarnation = 6;
  message.store_unreachable = true;
  const auto decoded = Decode<heartbeat>(Encode(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == message);
}

RC_GTEST_PROP(CodecTest,
              DigestIsReadBack,
              (const std::string& host, bool agreed)) {
  peer_digest message;
  message.host = host;
  message.removal_candidate = host + "x";
  message.removal_agreed = agreed;
  message.store_unreachable = !agreed;
  message.no_evidence = agreed;
  message.cancelled_jobs = {"a", host};
  message.hosts = {{host, "127.0.0.1:1", std::chrono::milliseconds(3)}};
  const auto decoded = Decode<peer_digest>(Encode(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == message);
}

// Bytes that a build without departures sent.
TEST(CodecTest, DigestOfAnEarlierBuildIsRead) {
  const std::string hex =
      "18026731180b3132372e302e302e313a3118016115021604160611160819"
      "1c18027331150c150e00190c190c1610160a190c191c1612111614151600"
      "00";
  std::string bytes;
  for (std::size_t at = 0; at < hex.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, 16));
  }
  load_digest message;
  message.host = "g1";
  message.address = "127.0.0.1:1";
  message.zone = "a";
  message.role = host_role::worker;
  message.incarnation = 2;
  message.sequence = 3;
  message.draining = true;
  message.configuration_revision = 4;
  message.backend_revision = 5;
  message.loads = {{"s1", 6, 7}};
  message.store_contact_age = std::chrono::milliseconds(8);
  message.verdicts = {{9, true, std::chrono::milliseconds(10), 11}};
  const auto decoded = Decode<load_digest>(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, message);
}

RC_GTEST_PROP(CodecTest,
              LoadDigestIsReadBack,
              (const std::string& host, std::uint64_t fingerprint)) {
  load_digest message;
  message.host = host;
  message.loads = {{host, 1, 2}};
  message.uses = {{host, 3}};
  message.backlogs = {{host, "route", 4}};
  message.store_contact_age = std::chrono::milliseconds(5);
  message.crashes = {{host,
                      std::chrono::milliseconds(6),
                      {{fingerprint, {fingerprint, 7}}, {8, {}}}}};
  message.verdicts = {{fingerprint, true, std::chrono::milliseconds(9), 10}};
  message.departures = {
      {host, "127.0.0.1:1", 11, 12, std::chrono::milliseconds(13)}};
  const auto decoded = Decode<load_digest>(Encode(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == message);
}

// Guards against entries of others that spoil a message between hosts: their
// names and values hold any bytes.
RC_GTEST_PROP(CodecTest,
              NamesOfAnyBytesAreReadBack,
              (const std::string& name, const std::string& value)) {
  inventory_snapshot inventory;
  inventory.backend_revision = 3;
  inventory.backends = {{name, value, 2}, {value, name, 3}};
  inventory.backends_since = 1;
  inventory.removed_backends = {name + "%41", name + "A"};
  const auto adopted = Decode<inventory_snapshot>(Encode(inventory));
  RC_ASSERT(adopted.has_value());
  RC_ASSERT(*adopted == inventory);
  const store_call call{store_operation::replace, name, name, value, 4};
  const auto relayed = Decode<store_call>(Encode(call));
  RC_ASSERT(relayed.has_value());
  RC_ASSERT(*relayed == call);
  load_digest digest;
  digest.host = "h";
  digest.address = "127.0.0.1:1";
  digest.evacuated_zones = {name, value};
  digest.evacuation_revision = 5;
  const auto heard = Decode<load_digest>(Encode(digest));
  RC_ASSERT(heard.has_value());
  RC_ASSERT(heard->evacuated_zones == digest.evacuated_zones);
}

// Guards against a malformed message that ends the process or allocates
// without bound.
RC_GTEST_PROP(CodecTest, RandomBytesNeverCrash, (const std::string& bytes)) {
  const auto decoded = Decode<peer_digest>(bytes);
  if (!decoded) {
    RC_ASSERT(decoded.error().kind() == error_kind::invalid_request);
  }
}

TEST(CodecTest, TruncatedMessageIsRefused) {
  borrow message{"acme", "entry-1", 2.5, 3, 4, 0.5};
  const std::string bytes = Encode(message);
  EXPECT_EQ(*Decode<borrow>(bytes), message);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(Decode<borrow>(bytes.substr(0, size))) << size;
  }
  EXPECT_FALSE(Decode<borrow>(bytes + "x"));
}

}  // namespace
}  // namespace cardamomyard
