#include "src/batch/job.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "cardamomyard/statechart.h"
#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace {
namespace json = boost::json;

constexpr std::array<std::string_view, 5> kStates{
    "in_progress", "cancelling", "completed", "cancelled", "failed"};

/// \returns the state after \p event, or `conflict` when the state chart has no
/// such transition.
result<job_state> NextState(job_state state, std::string_view event) {
  const auto next = ActiveCharts().batch_job.Next(ToString(state), event);
  if (!next) {
    return Fail(error_kind::conflict,
                "the job is " + std::string(ToString(state)));
  }
  const auto* found = std::find(kStates.begin(), kStates.end(), *next);
  return static_cast<job_state>(found - kStates.begin());
}

void MarkChanged(job_record& job, std::string nonce) {
  ++job.fence;
  job.nonce = std::move(nonce);
}

}  // namespace

std::string_view ToString(job_state value) {
  return kStates[static_cast<std::size_t>(value)];
}

std::string job_record::ToJson() const {
  std::string bits;
  for (const bool bit : done) {
    bits += bit ? '1' : '0';
  }
  return json::serialize(
      json::object{{"id", id},
                   {"account", account},
                   {"file", file_id},
                   {"endpoint", endpoint},
                   {"state", ToString(state)},
                   {"items", items},
                   {"done", bits},
                   {"completed", counts.completed},
                   {"failed", counts.failed},
                   {"cancelled", counts.cancelled},
                   {"created_ms", internal::ToUnixMs(created)},
                   {"fence", fence},
                   {"nonce", nonce}});
}

result<job_record> job_record::Parse(std::string_view text) {
  job_record job;
  const result<void> read = internal::ParseRecord(
      text, "job record", [&job](const json::object& object) {
        job.id = internal::GetString(object, "id");
        job.account = internal::GetString(object, "account");
        job.file_id = internal::GetString(object, "file");
        job.endpoint = internal::GetString(object, "endpoint");
        const std::string name = internal::GetString(object, "state");
        const auto* state = std::find(kStates.begin(), kStates.end(), name);
        if (state == kStates.end()) {
          throw std::invalid_argument("unknown job state");
        }
        job.state = static_cast<job_state>(state - kStates.begin());
        job.items = internal::GetUint64(object, "items");
        for (const char bit : internal::GetString(object, "done")) {
          job.done.push_back(bit == '1');
        }
        job.counts = {internal::GetUint64(object, "completed"),
                      internal::GetUint64(object, "failed"),
                      internal::GetUint64(object, "cancelled")};
        job.created = internal::GetWallTime(object, "created_ms");
        job.fence = internal::GetUint64(object, "fence");
        job.nonce = internal::GetString(object, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return job;
}

std::string JobId(std::string_view account,
                  std::string_view file_id,
                  std::string_view endpoint,
                  std::string_view idempotency_key) {
  return "batch_" +
         internal::ShortHash({account, file_id, endpoint, idempotency_key});
}

result<job_record> CreateJob(std::string_view account,
                             const file_manifest& manifest,
                             std::string_view endpoint,
                             std::string_view idempotency_key,
                             wall_time now,
                             std::string nonce) {
  if (manifest.account != account) {
    // The same error as for a missing file, so that an account cannot find out
    // which file ids of others exist.
    return Fail(error_kind::not_found, "the input file does not exist");
  }
  job_record job;
  job.file_id = manifest.Id();
  job.id = JobId(account, job.file_id, endpoint, idempotency_key);
  job.account = account;
  job.endpoint = endpoint;
  job.items = manifest.items;
  job.done.resize(manifest.chunks.size());
  // The record stores milliseconds.
  job.created = std::chrono::floor<std::chrono::milliseconds>(now);
  MarkChanged(job, std::move(nonce));
  return job;
}

result<job_record> MarkGroupDone(job_record job,
                                 std::size_t group,
                                 const item_counts& counts,
                                 std::string nonce) {
  if (group >= job.done.size()) {
    return Fail(error_kind::internal,
                "the job has no group " + std::to_string(group));
  }
  if (job.done[group]) {
    return job;
  }
  if (auto next = NextState(job.state, "group_done"); !next) {
    return Fail(next.error());
  }
  job.done[group] = true;
  job.counts += counts;
  if (std::find(job.done.begin(), job.done.end(), false) == job.done.end()) {
    if (job.counts.total() != job.items) {
      return Fail(error_kind::internal,
                  "the counts of the groups do not cover the job's items");
    }
    auto ended = NextState(job.state,
                           job.counts.failed == job.items ? "fail" : "finish");
    if (!ended) {
      return Fail(ended.error());
    }
    job.state = *ended;
  }
  MarkChanged(job, std::move(nonce));
  return job;
}

result<job_record> StartCancel(job_record job, std::string nonce) {
  if (job.state == job_state::cancelling || job.state == job_state::cancelled) {
    return job;
  }
  auto cancelling = NextState(job.state, "cancel");
  if (!cancelling) {
    return Fail(cancelling.error());
  }
  job.state = *cancelling;
  MarkChanged(job, std::move(nonce));
  return job;
}

result<job_record> FinishCancel(job_record job,
                                const item_counts& totals,
                                std::string nonce) {
  if (job.state == job_state::cancelled) {
    return job;
  }
  auto cancelled = NextState(job.state, "sweep");
  if (!cancelled) {
    return Fail(cancelled.error());
  }
  if (totals.total() != job.items) {
    return Fail(error_kind::internal,
                "the sweep did not close every group of the job");
  }
  job.state = *cancelled;
  job.counts = totals;
  job.done.assign(job.done.size(), true);
  MarkChanged(job, std::move(nonce));
  return job;
}

}  // namespace cardamomyard
