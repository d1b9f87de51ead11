// Control messages between the processes of the system, compact protocol.
// Regenerate with tools/generate-wire after a change. Fields are never renumbered.
namespace cpp cardamomyard.internal.thrift_wire

struct Suspect {
  1: i64 fingerprint
  2: i32 state
  3: i64 expiry_unix_ms
  4: i32 round
}

struct PeerHost {
  1: string id
  2: string address
  3: i64 heard_age_ms
}

struct Heartbeat {
  1: string id
  2: string deployment
  3: string zone
  4: string address
  5: i64 incarnation
  6: i32 state
  7: i32 free_online_slots
  8: i32 queue_length
  9: i32 running
  10: i32 step_time_us
  11: i64 generation
  12: i64 store_contact_age_ms
  13: list<i64> prefix_digests
  14: list<Suspect> suspects
  15: i32 batch_running
  16: i64 batch_tokens
  17: i64 sequence
  18: i64 share_epoch
  19: i64 answers_reply_time_us
  20: i64 answers_incarnation
  21: bool store_unreachable
}

struct HeartbeatReply {
  1: string host
  2: i64 generation
  3: i64 store_contact_age_ms
  4: list<string> cancelled_jobs
  5: list<Suspect> suspects
  6: list<PeerHost> hosts
  7: i64 share_epoch
  8: i64 reply_time_us
  9: i64 incarnation
}

struct PeerDigest {
  1: string host
  2: string address
  3: i64 incarnation
  4: i64 generation
  5: i64 store_contact_age_ms
  6: i64 share_epoch
  7: list<string> cancelled_jobs
  8: list<Suspect> suspects
  9: list<PeerHost> hosts
  10: string removal_candidate
  11: bool removal_agreed
  12: bool store_unreachable
  13: bool no_evidence
}

struct Borrow {
  1: string account
  2: string borrower
  3: double amount
  4: i64 generation
  5: i64 share_epoch
  6: double least
}

struct BorrowReply {
  1: double granted
  2: i64 good_for_ms
  3: i64 generation
  4: i64 share_epoch
  5: i64 retry_after_ms
}

struct BackendLoad {
  1: string backend
  2: i32 online
  3: i32 batch
}

struct AccountUse {
  1: string account
  2: i64 admitted
}

struct Backlog {
  1: string account
  2: string route
  3: i64 tokens
}

struct CrashSuspect {
  1: i64 request
  2: list<i64> parts
}

struct CrashReport {
  1: string backend
  2: i64 age_ms
  3: list<CrashSuspect> suspects
}

struct CrashVerdict {
  1: i64 fingerprint
  2: bool refused
  3: i64 age_ms
  4: i32 trials
}

struct Departure {
  1: string backend
  2: string address
  3: i64 started_unix_ms
  4: i64 revision
  5: i64 age_ms
}

struct ColdServer {
  1: string backend
  2: i64 started_unix_ms
  3: i64 remaining_ms
}

struct BackendSpeed {
  1: string backend
  2: i64 started_unix_ms
  3: i32 thousandths
  4: i32 observations
}

struct LoadDigest {
  1: string host
  2: string address
  3: string zone
  4: i32 role
  5: i64 incarnation
  6: i64 sequence
  7: bool draining
  8: i64 configuration_revision
  9: list<BackendLoad> loads
  10: list<AccountUse> uses
  11: list<Backlog> backlogs
  12: i64 store_contact_age_ms
  13: i64 backend_revision
  14: list<CrashReport> crashes
  15: list<CrashVerdict> verdicts
  16: list<Departure> departures
  17: optional list<ColdServer> cold_servers
  18: optional list<string> evacuated_zones
  19: optional i64 evacuation_revision
  20: optional list<BackendSpeed> speeds
  21: optional bool partial_uses
}

struct InventoryRecord {
  1: string name
  2: string value
  3: i64 revision
}

struct InventorySnapshot {
  1: i64 configuration_revision
  2: string configuration
  3: list<InventoryRecord> backends
  4: i64 store_contact_age_ms
  5: i64 backend_revision
  6: optional i64 backends_since
  7: optional list<string> removed_backends
}

struct JobPageRequest {
  1: string job
  2: string account
  3: i64 after
  4: i64 wait_ms
}

struct JobItemResult {
  1: string item
  2: bool completed
  3: string text
}

struct JobPage {
  1: i32 state
  2: i64 total
  3: list<JobItemResult> results
}

struct StoreCall {
  1: i32 operation
  2: string kind
  3: string name
  4: string value
  5: i64 revision
}

struct StoreReply {
  1: string failure
  2: string ran
  3: string reason
  4: bool found
  5: string value
  6: i64 revision
}
