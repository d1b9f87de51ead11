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

/// \returns the state after \p event, or the chart's conflict.
result<job_state> NextState(job_state state, std::string_view event) {
  const auto next = ActiveCharts().batch_job.Next(ToString(state), event);
  if (!next) {
    return Fail(error_kind::conflict,
                "the job is " + std::string(ToString(state)));
  }
  const auto* found = std::find(kStates.begin(), kStates.end(), *next);
  return static_cast<job_state>(found - kStates.begin());
}

void Stamp(job_record& job, std::string nonce) {
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
  job_record out;
  const result<void> read = internal::ParseRecord(
      text, "job record", [&out](const json::object& from) {
        out.id = internal::GetString(from, "id");
        out.account = internal::GetString(from, "account");
        out.file_id = internal::GetString(from, "file");
        out.endpoint = internal::GetString(from, "endpoint");
        const std::string name = internal::GetString(from, "state");
        const auto* state = std::find(kStates.begin(), kStates.end(), name);
        if (state == kStates.end()) {
          throw std::invalid_argument("unknown job state");
        }
        out.state = static_cast<job_state>(state - kStates.begin());
        out.items = internal::GetUint64(from, "items");
        for (const char bit : internal::GetString(from, "done")) {
          out.done.push_back(bit == '1');
        }
        out.counts = {internal::GetUint64(from, "completed"),
                      internal::GetUint64(from, "failed"),
                      internal::GetUint64(from, "cancelled")};
        out.created = internal::GetWallTime(from, "created_ms");
        out.fence = internal::GetUint64(from, "fence");
        out.nonce = internal::GetString(from, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return out;
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
    // The same answer as for a missing file: ids of others are not confirmed.
    return Fail(error_kind::not_found, "the input file does not exist");
  }
  job_record job;
  job.file_id = manifest.Id();
  job.id = JobId(account, job.file_id, endpoint, idempotency_key);
  job.account = account;
  job.endpoint = endpoint;
  job.items = manifest.items;
  job.done.resize(manifest.chunks.size());
  // Records keep milliseconds.
  job.created = std::chrono::floor<std::chrono::milliseconds>(now);
  Stamp(job, std::move(nonce));
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
  if (auto open = NextState(job.state, "group_done"); !open) {
    return Fail(open.error());
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
  Stamp(job, std::move(nonce));
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
  Stamp(job, std::move(nonce));
  return job;
}

result<job_record> FinishCancel(job_record job,
                                const item_counts& totals,
                                std::string nonce) {
  if (job.state == job_state::cancelled) {
    return job;
  }
  auto swept = NextState(job.state, "sweep");
  if (!swept) {
    return Fail(swept.error());
  }
  if (totals.total() != job.items) {
    return Fail(error_kind::internal,
                "the sweep did not close every group of the job");
  }
  job.state = *swept;
  job.counts = totals;
  job.done.assign(job.done.size(), true);
  Stamp(job, std::move(nonce));
  return job;
}

}  // namespace cardamomyard
