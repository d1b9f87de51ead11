#include "src/wire/codec.h"

#include <control_types.h>

#include <algorithm>
#include <utility>

#include "src/wire/age_codec.h"
#include "src/wire/thrift_buffer.h"

namespace cardamomyard {
namespace thrift_wire = internal::thrift_wire;
namespace {

// A control message of 3,400 suspects and 560 hosts stays well below this.
constexpr int kMaxMessageBytes = 1 << 20;

template <class Wire>
result<Wire> Deserialize(std::string_view bytes) {
  return internal::Deserialize<Wire>(bytes, kMaxMessageBytes);
}

using internal::FromAge;
using internal::Serialize;
using internal::ToAge;

thrift_wire::Suspect ToWire(const suspect_message& entry) {
  thrift_wire::Suspect wire;
  wire.fingerprint = static_cast<std::int64_t>(entry.fingerprint);
  wire.state = entry.state;
  wire.expiry_unix_ms = entry.expiry_unix_time.count();
  wire.round = entry.round;
  return wire;
}

suspect_message FromWire(const thrift_wire::Suspect& wire) {
  return {static_cast<std::uint64_t>(wire.fingerprint), wire.state,
          std::chrono::milliseconds(wire.expiry_unix_ms), wire.round};
}

thrift_wire::PeerHost ToWire(const peer_host& host) {
  thrift_wire::PeerHost wire;
  wire.id = host.id;
  wire.address = host.address;
  wire.heard_age_ms = host.heard_age.count();
  return wire;
}

peer_host FromWire(const thrift_wire::PeerHost& wire) {
  return {wire.id, wire.address, std::chrono::milliseconds(wire.heard_age_ms)};
}

template <class From>
auto ListToWire(const std::vector<From>& from) {
  std::vector<decltype(ToWire(from.front()))> to;
  to.reserve(from.size());
  std::transform(from.begin(), from.end(), std::back_inserter(to),
                 [](const From& item) { return ToWire(item); });
  return to;
}

template <class From>
auto ListFromWire(const std::vector<From>& from) {
  std::vector<decltype(FromWire(from.front()))> to;
  to.reserve(from.size());
  std::transform(from.begin(), from.end(), std::back_inserter(to),
                 [](const From& item) { return FromWire(item); });
  return to;
}

}  // namespace

std::string Encode(const heartbeat& message) {
  thrift_wire::Heartbeat wire;
  wire.id = message.id;
  wire.deployment = message.deployment;
  wire.zone = message.zone;
  wire.address = message.address;
  wire.incarnation = message.incarnation;
  wire.state = message.state;
  wire.free_online_slots = message.free_online_slots;
  wire.queue_length = message.queue_length;
  wire.running = message.running;
  wire.step_time_us = static_cast<std::int32_t>(message.step_time.count());
  wire.generation = message.generation;
  wire.store_contact_age_ms = FromAge(message.store_contact_age);
  wire.prefix_digests.assign(message.prefix_digests.begin(),
                             message.prefix_digests.end());
  wire.suspects = ListToWire(message.suspects);
  wire.batch_running = message.batch_running;
  wire.batch_tokens = message.batch_tokens;
  wire.sequence = message.sequence;
  wire.share_epoch = message.share_epoch;
  wire.answers_reply_time_us = message.answers_reply_time_us;
  wire.answers_incarnation = message.answers_incarnation;
  wire.store_unreachable = message.store_unreachable;
  return Serialize(wire);
}

template <>
result<heartbeat> Decode(std::string_view bytes) {
  return Deserialize<thrift_wire::Heartbeat>(bytes).map(
      [](const thrift_wire::Heartbeat& wire) {
        return heartbeat{
            wire.id,
            wire.deployment,
            wire.zone,
            wire.address,
            wire.incarnation,
            wire.state,
            wire.free_online_slots,
            wire.queue_length,
            wire.running,
            std::chrono::microseconds(wire.step_time_us),
            wire.generation,
            ToAge(wire.store_contact_age_ms),
            {wire.prefix_digests.begin(), wire.prefix_digests.end()},
            ListFromWire(wire.suspects),
            wire.batch_running,
            wire.batch_tokens,
            wire.sequence,
            wire.share_epoch,
            wire.answers_reply_time_us,
            wire.answers_incarnation,
            wire.store_unreachable};
      });
}

std::string Encode(const heartbeat_reply& message) {
  thrift_wire::HeartbeatReply wire;
  wire.host = message.host;
  wire.generation = message.generation;
  wire.store_contact_age_ms = FromAge(message.store_contact_age);
  wire.cancelled_jobs = message.cancelled_jobs;
  wire.suspects = ListToWire(message.suspects);
  wire.hosts = ListToWire(message.hosts);
  wire.share_epoch = message.share_epoch;
  wire.reply_time_us = message.reply_time_us;
  wire.incarnation = message.incarnation;
  return Serialize(wire);
}

template <>
result<heartbeat_reply> Decode(std::string_view bytes) {
  return Deserialize<thrift_wire::HeartbeatReply>(bytes).map(
      [](const thrift_wire::HeartbeatReply& wire) {
        return heartbeat_reply{wire.host,
                               wire.generation,
                               ToAge(wire.store_contact_age_ms),
                               wire.cancelled_jobs,
                               ListFromWire(wire.suspects),
                               ListFromWire(wire.hosts),
                               wire.share_epoch,
                               wire.reply_time_us,
                               wire.incarnation};
      });
}

std::string Encode(const peer_digest& message) {
  thrift_wire::PeerDigest wire;
  wire.host = message.host;
  wire.address = message.address;
  wire.incarnation = message.incarnation;
  wire.generation = message.generation;
  wire.store_contact_age_ms = FromAge(message.store_contact_age);
  wire.share_epoch = message.share_epoch;
  wire.cancelled_jobs = message.cancelled_jobs;
  wire.suspects = ListToWire(message.suspects);
  wire.hosts = ListToWire(message.hosts);
  wire.removal_candidate = message.removal_candidate;
  wire.removal_agreed = message.removal_agreed;
  wire.store_unreachable = message.store_unreachable;
  wire.no_evidence = message.no_evidence;
  return Serialize(wire);
}

template <>
result<peer_digest> Decode(std::string_view bytes) {
  return Deserialize<thrift_wire::PeerDigest>(bytes).map(
      [](const thrift_wire::PeerDigest& wire) {
        return peer_digest{wire.host,
                           wire.address,
                           wire.incarnation,
                           wire.generation,
                           ToAge(wire.store_contact_age_ms),
                           wire.share_epoch,
                           wire.cancelled_jobs,
                           ListFromWire(wire.suspects),
                           ListFromWire(wire.hosts),
                           wire.removal_candidate,
                           wire.removal_agreed,
                           wire.store_unreachable,
                           wire.no_evidence};
      });
}

std::string Encode(const borrow& message) {
  thrift_wire::Borrow wire;
  wire.account = message.account;
  wire.borrower = message.borrower;
  wire.amount = message.amount;
  wire.least = message.least;
  wire.generation = message.generation;
  wire.share_epoch = message.share_epoch;
  return Serialize(wire);
}

template <>
result<borrow> Decode(std::string_view bytes) {
  return Deserialize<thrift_wire::Borrow>(bytes).map(
      [](const thrift_wire::Borrow& wire) {
        return borrow{wire.account,    wire.borrower,    wire.amount,
                      wire.generation, wire.share_epoch, wire.least};
      });
}

std::string Encode(const borrow_reply& message) {
  thrift_wire::BorrowReply wire;
  wire.granted = message.granted;
  wire.good_for_ms = message.good_for.count();
  wire.retry_after_ms = message.retry_after.count();
  wire.generation = message.generation;
  wire.share_epoch = message.share_epoch;
  return Serialize(wire);
}

template <>
result<borrow_reply> Decode(std::string_view bytes) {
  return Deserialize<thrift_wire::BorrowReply>(bytes).map(
      [](const thrift_wire::BorrowReply& wire) {
        return borrow_reply{wire.granted,
                            std::chrono::milliseconds(wire.good_for_ms),
                            wire.generation, wire.share_epoch,
                            std::chrono::milliseconds(wire.retry_after_ms)};
      });
}

}  // namespace cardamomyard
