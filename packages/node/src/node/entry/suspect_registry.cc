#include "src/node/entry/suspect_registry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr part_log kLog("suspects");
// An isolated run whose result is not recorded within this time counts as lost.
constexpr std::chrono::milliseconds kClaimLifetime{60'000};

std::string ClaimKey(request_fingerprint fingerprint) {
  return "suspect/" + std::to_string(fingerprint);
}

std::string ToJson(const suspect_claim& claim) {
  const auto expiry = std::chrono::duration_cast<std::chrono::milliseconds>(
      claim.expiry.time_since_epoch());
  const json::object record{{"holder", claim.holder},
                            {"round", claim.round},
                            {"runs", claim.runs},
                            {"verdict", static_cast<int>(claim.verdict)},
                            {"expiry_unix_ms", expiry.count()},
                            {"nonce", RandomHex(8)}};
  return json::serialize(record);
}

std::optional<suspect_claim> ParseClaim(const std::string& text) {
  boost::system::error_code code;
  const json::value record = json::parse(text, code);
  if (code || !record.is_object()) {
    return std::nullopt;
  }
  try {
    suspect_claim claim;
    claim.holder = json::value_to<std::string>(record.at("holder"));
    claim.round = record.at("round").to_number<std::uint32_t>();
    claim.runs = record.at("runs").to_number<int>();
    claim.verdict =
        static_cast<claim_verdict>(record.at("verdict").to_number<int>());
    claim.expiry = wall_time(std::chrono::milliseconds(
        record.at("expiry_unix_ms").to_number<std::int64_t>()));
    return claim;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

tl::unexpected<error> Quarantined(const std::string& reason) {
  return Fail(error_kind::quarantined,
              "the request is suspected to crash backend servers: " + reason);
}

}  // namespace

suspect_registry::suspect_registry(process_context& context)
    : context_(&context) {}

suspect_decision suspect_registry::Decide(
    request_fingerprint fingerprint) const {
  const std::lock_guard lock(mutex_);
  return table_.Decide(fingerprint, context_->time().WallNow());
}

bool suspect_registry::HasQuarantinedPart(
    const std::vector<request_fingerprint>& parts) const {
  const std::lock_guard lock(mutex_);
  const wall_time now = context_->time().WallNow();
  return std::any_of(parts.begin(), parts.end(), [&](request_fingerprint part) {
    return table_.Decide(part, now) == suspect_decision::refuse;
  });
}

void suspect_registry::RecordPartCrashes(
    const std::vector<request_fingerprint>& parts) {
  const std::lock_guard lock(mutex_);
  const wall_time now = context_->time().WallNow();
  for (const request_fingerprint part : parts) {
    table_.RecordPartCrash(part, now);
    if (table_.Decide(part, now) == suspect_decision::refuse) {
      kLog.Warning("Prompt part quarantined.", {{"fingerprint", part}});
    }
  }
}

void suspect_registry::RecordPartCompletions(
    const std::vector<request_fingerprint>& parts) {
  const std::lock_guard lock(mutex_);
  for (const request_fingerprint part : parts) {
    table_.RecordPartCompletion(part, context_->time().WallNow());
  }
}

asio::awaitable<result<std::optional<isolated_run>>> suspect_registry::Claim(
    request_fingerprint fingerprint) {
  auto read = co_await context_->store().Get(ClaimKey(fingerprint));
  if (!read) {
    co_return Quarantined("the object API does not answer");
  }
  std::optional<suspect_claim> current;
  if (*read) {
    current = ParseClaim((*read)->value);
  }
  const wall_time now = context_->time().WallNow();
  claim_decision decision;
  {
    const std::lock_guard lock(mutex_);
    decision = DecideClaim(current, context_->settings().id,
                           table_.Round(fingerprint, now), now, kClaimLifetime);
    if (std::holds_alternative<claim_cleared>(decision)) {
      table_.RecordCleared(fingerprint, now);
      co_return std::nullopt;
    }
    if (std::holds_alternative<claim_quarantined>(decision)) {
      table_.RecordQuarantined(fingerprint, now);
      co_return Quarantined("it crashed a backend server in isolation");
    }
  }
  if (std::holds_alternative<claim_held>(decision)) {
    co_return Quarantined("another host is running it in isolation");
  }
  isolated_run run;
  run.claim = std::get<claim_granted>(decision).record;
  std::string record = ToJson(run.claim);
  auto written = co_await context_->store().Put(
      ClaimKey(fingerprint), std::move(record), IfUnchanged(*read));
  if (!written) {
    co_return Quarantined("the claim could not be written");
  }
  run.version = *written;
  {
    const std::lock_guard lock(mutex_);
    table_.RecordIsolatedRun(fingerprint, now);
  }
  kLog.Info("Isolated run started.", {{"fingerprint", fingerprint}});
  co_return run;
}

asio::awaitable<void> suspect_registry::End(request_fingerprint fingerprint,
                                            isolated_run run,
                                            bool server_survived) {
  const wall_time now = context_->time().WallNow();
  {
    const std::lock_guard lock(mutex_);
    if (server_survived) {
      table_.RecordCleared(fingerprint, now);
    } else {
      table_.RecordQuarantined(fingerprint, now);
    }
  }
  kLog.Warning(server_survived ? "Suspect cleared." : "Suspect quarantined.",
               {{"fingerprint", fingerprint}});
  std::string record = ToJson(EndClaim(run.claim, server_survived, now));
  const write_condition condition = write_if_version{run.version};
  // If this write fails, the claim expires and the run counts as lost.
  co_await context_->store().Put(ClaimKey(fingerprint), std::move(record),
                                 condition);
}

bool suspect_registry::Merge(const std::vector<suspect_entry>& entries) {
  const std::lock_guard lock(mutex_);
  bool changed = false;
  for (const suspect_entry& entry : entries) {
    changed |= table_.Merge(entry, context_->time().WallNow());
  }
  return changed;
}

std::vector<suspect_entry> suspect_registry::Entries() const {
  const std::lock_guard lock(mutex_);
  return table_.Entries(context_->time().WallNow());
}

}  // namespace cardamomyard
