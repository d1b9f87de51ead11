#ifndef CARDAMOMYARD_WIRE_FLEET_MESSAGES_H_
#define CARDAMOMYARD_WIRE_FLEET_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/wire/messages.h"

namespace cardamomyard {

/// \brief Requests that the sender has in flight at one backend server.
struct backend_load {
  std::string backend;
  std::int32_t online = 0;
  std::int32_t batch = 0;
  friend bool operator==(const backend_load&, const backend_load&) = default;
};

/// \brief Requests of one client account that the sender has admitted since it
/// started.
struct account_use {
  std::string account;
  std::int64_t admitted = 0;
  friend bool operator==(const account_use&, const account_use&) = default;
};

/// \brief Tokens of one account that wait on one batch route at the sender.
struct batch_backlog {
  std::string account;
  std::string route;
  std::int64_t tokens = 0;
  friend bool operator==(const batch_backlog&, const batch_backlog&) = default;
};

/// \brief A request that broke off when a backend server crashed, before it
/// had made progress there, so that it may be the cause.
struct crash_suspect {
  std::uint64_t request = 0;         ///< Hash of account, path and body.
  std::vector<std::uint64_t> parts;  ///< Hashes of its shared prompt parts.
  friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// \brief A crash of a backend server, as the sender saw it.
struct crash_report {
  std::string backend;
  std::chrono::milliseconds age{0};
  std::vector<crash_suspect> suspects;
  friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// \brief Whether requests with one fingerprint, their own or that of a prompt
/// part, are refused because they crash backend servers.
struct crash_verdict {
  std::uint64_t fingerprint = 0;
  bool refused = false;              ///< False: a complete answer cleared it.
  std::chrono::milliseconds age{0};  ///< Since the verdict or the last trial.
  std::int32_t trials = 0;           ///< Requests let through since.
  friend bool operator==(const crash_verdict&, const crash_verdict&) = default;
};

/// \brief A backend server that announced to the sender that it leaves.
struct departure_report {
  std::string backend;
  std::string address;
  std::int64_t started_unix_ms = 0;  ///< 0 when not known.
  std::int64_t revision = 0;         ///< Of its entry in the store.
  std::chrono::milliseconds age{0};
  friend bool operator==(const departure_report&,
                         const departure_report&) = default;
};

/// \brief A backend server that is cold: it tolerates few requests until then.
struct cold_report {
  std::string backend;
  std::int64_t started_unix_ms = 0;  ///< 0 when not known.
  std::chrono::milliseconds remaining{0};
  friend bool operator==(const cold_report&, const cold_report&) = default;
};

/// \brief How fast a backend server is, relative to the median of its service,
/// from the sender's own requests.
struct speed_report {
  std::string backend;
  std::int64_t started_unix_ms = 0;  ///< 0 when not known.
  double speed = 1;
  std::int32_t observations = 0;
  friend bool operator==(const speed_report&, const speed_report&) = default;
};

enum class host_role : std::int32_t { gateway = 0, worker = 1 };

/// \brief State of one host, sent to its peers by datagram.
///
/// Counts are totals and not differences, so a lost digest is repaired by the
/// next one.
struct load_digest {
  std::string host;
  std::string address;
  std::string zone;
  host_role role = host_role::gateway;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  bool draining = false;
  std::int64_t configuration_revision = 0;
  /// Revision of the store at which the sender knows the backend servers.
  std::int64_t backend_revision = 0;
  std::vector<backend_load> loads;
  std::vector<account_use> uses;
  /// Whether `uses` names only the accounts that have changed lately.
  bool partial_uses = false;
  std::vector<batch_backlog> backlogs;
  event_age store_contact_age;
  std::vector<crash_report> crashes;
  std::vector<crash_verdict> verdicts;
  std::vector<departure_report> departures;
  std::vector<cold_report> cold_servers;
  /// Zones whose servers get no new work, as of a revision of the store; 0 when
  /// the sender doesn't know.
  std::vector<std::string> evacuated_zones;
  std::int64_t evacuation_revision = 0;
  std::vector<speed_report> speeds;
  friend bool operator==(const load_digest&, const load_digest&) = default;
};

/// \brief One record of the store as the sender holds it.
struct inventory_record {
  std::string name;
  std::string value;
  std::int64_t revision = 0;
  friend bool operator==(const inventory_record&,
                         const inventory_record&) = default;
};

/// \brief What a host without store contact takes over from a peer.
struct inventory_snapshot {
  std::int64_t configuration_revision = 0;
  std::string configuration;
  std::int64_t backend_revision = 0;
  std::vector<inventory_record> backends;
  /// Set when `backends` holds only the records that are newer than this
  /// revision, and `removed_backends` the names of those removed since.
  std::optional<std::int64_t> backends_since;
  std::vector<std::string> removed_backends;
  event_age store_contact_age;
  friend bool operator==(const inventory_snapshot&,
                         const inventory_snapshot&) = default;
};

/// \brief Asks the owner of a batch job for results from a position on.
struct job_page_request {
  std::string job;
  std::string account;
  std::int64_t after = 0;
  std::chrono::milliseconds wait{0};
  friend bool operator==(const job_page_request&,
                         const job_page_request&) = default;
};

/// \brief Final result of one batch item.
struct job_item_result {
  std::string item;
  bool completed = false;
  std::string text;
  friend bool operator==(const job_item_result&,
                         const job_item_result&) = default;
};

enum class job_page_state : std::int32_t {
  known = 0,
  not_owner = 1,  ///< The receiver does not own the job, or not surely.
};

/// \brief Results from the position asked for.
struct job_page {
  job_page_state state = job_page_state::not_owner;
  std::int64_t total = 0;
  std::vector<job_item_result> results;
  friend bool operator==(const job_page&, const job_page&) = default;
};

enum class store_operation : std::int32_t {
  get = 0,
  create = 1,
  replace = 2,
  remove = 3,
  set_status = 4,
};

/// \brief A call to the store that a host makes for a peer which the store
/// does not answer.
struct store_call {
  store_operation operation = store_operation::get;
  std::string kind;
  std::string name;
  std::string value;
  std::int64_t revision = 0;
  friend bool operator==(const store_call&, const store_call&) = default;
};

/// \brief The store's answer to a store_call.
struct store_reply {
  std::string failure;  ///< Name of the error kind, empty for success.
  std::string ran;      ///< Name of the outcome of a failed call.
  std::string reason;
  bool found = false;
  std::string value;
  std::int64_t revision = 0;
  friend bool operator==(const store_reply&, const store_reply&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_WIRE_FLEET_MESSAGES_H_
