#ifndef CARDAMOMYARD_WIRE_MESSAGES_H_
#define CARDAMOMYARD_WIRE_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomyard {

/// Age of an event at the time of sending; nothing when it never happened.
using event_age = std::optional<std::chrono::milliseconds>;

/// \brief A request fingerprint that is suspected to crash engines.
struct suspect_message {
  std::uint64_t fingerprint = 0;
  std::int32_t state = 0;
  std::chrono::milliseconds expiry_unix_time{0};
  std::int32_t round = 0;
  friend bool operator==(const suspect_message&,
                         const suspect_message&) = default;
};

/// \brief An entry host that the sender knows.
struct peer_host {
  std::string id;
  std::string address;
  std::chrono::milliseconds heard_age{0};
  friend bool operator==(const peer_host&, const peer_host&) = default;
};

/// \brief Sidecar to entry host, once a second.
struct heartbeat {
  std::string id;
  std::string deployment;
  std::string zone;
  std::string address;
  std::int64_t incarnation = 0;
  std::int32_t state = 0;
  std::int32_t free_online_slots = 0;
  std::int32_t queue_length = 0;
  std::int32_t running = 0;
  std::chrono::microseconds step_time{0};
  std::int64_t generation = 0;
  event_age store_contact_age;
  std::vector<std::uint64_t> prefix_digests;
  std::vector<suspect_message> suspects;
  std::int32_t batch_running = 0;
  std::int64_t batch_tokens = 0;
  /// Orders the heartbeats of one incarnation.
  std::int64_t sequence = 0;
  std::int64_t share_epoch = 0;
  /// Copied from the last reply of the receiver, which so knows a time before
  /// which the heartbeat was certainly not sent.
  std::int64_t answers_reply_time_us = 0;
  std::int64_t answers_incarnation = 0;
  /// The last read of the store failed.
  bool store_unreachable = false;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// \brief Answer to a heartbeat.
struct heartbeat_reply {
  std::string host;
  std::int64_t generation = 0;
  event_age store_contact_age;
  std::vector<std::string> cancelled_jobs;
  std::vector<suspect_message> suspects;
  std::vector<peer_host> hosts;
  std::int64_t share_epoch = 0;
  /// The sender's own steady time and incarnation.
  std::int64_t reply_time_us = 0;
  std::int64_t incarnation = 0;
  friend bool operator==(const heartbeat_reply&,
                         const heartbeat_reply&) = default;
};

/// \brief Entry host to entry host; the answer has the same form.
struct peer_digest {
  std::string host;
  std::string address;
  std::int64_t incarnation = 0;
  std::int64_t generation = 0;
  event_age store_contact_age;
  std::int64_t share_epoch = 0;
  std::vector<std::string> cancelled_jobs;
  std::vector<suspect_message> suspects;
  std::vector<peer_host> hosts;
  /// Host that the sender wants to remove from the share table, or empty.
  std::string removal_candidate;
  /// In an answer: the receiver has not heard from the candidate either.
  bool removal_agreed = false;
  /// The last read of the store failed.
  bool store_unreachable = false;
  /// In an answer: must not count as evidence of an outage for the receiver.
  bool no_evidence = false;
  friend bool operator==(const peer_digest&, const peer_digest&) = default;
};

/// \brief Asks a home of a client account for tokens.
struct borrow {
  std::string account;
  std::string borrower;
  double amount = 0;
  std::int64_t generation = 0;
  std::int64_t share_epoch = 0;
  /// Less than this is of no use to the borrower.
  double least = 0;
  friend bool operator==(const borrow&, const borrow&) = default;
};

struct borrow_reply {
  double granted = 0;
  /// How long the tokens may be used, from when the request was sent.
  std::chrono::milliseconds good_for{0};
  std::int64_t generation = 0;
  std::int64_t share_epoch = 0;
  /// When nothing is granted: how long until it may be.
  std::chrono::milliseconds retry_after{0};
  friend bool operator==(const borrow_reply&, const borrow_reply&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_WIRE_MESSAGES_H_
