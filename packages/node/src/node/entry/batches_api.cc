#include "src/node/entry/batches_api.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <charconv>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/batch_keys.h"
#include "src/node/entry/batch_format.h"
#include "src/node/entry/caller_server.h"
#include "src/node/entry/item_target.h"
#include "src/node/job_updates.h"
#include "src/node/stored_record.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("batches");
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kNonceBytes = 8;
constexpr std::size_t kDefaultPageSize = 20;
constexpr std::size_t kMaxPageSize = 100;
constexpr std::chrono::milliseconds kRetryInterval{1000};
// Bounds the cancellations that wait for the store. During a store outage the
// owner of a job cannot be checked, so ids of jobs that do not exist are
// accepted too.
constexpr int kMaxPendingCancels = 1000;

error NoSuchBatch() {
  return error::Make(error_kind::not_found, "the batch does not exist");
}

result<std::size_t> ParsePageSize(const request_target& target) {
  const std::optional<std::string> text = target.Query("limit");
  if (!text) {
    return kDefaultPageSize;
  }
  std::size_t size = 0;
  const auto [end, failure] =
      std::from_chars(text->data(), text->data() + text->size(), size);
  if (failure != std::errc() || end != text->data() + text->size() ||
      size == 0 || size > kMaxPageSize) {
    return Fail(error_kind::invalid_request, "\"limit\" must be 1 to 100");
  }
  return size;
}

}  // namespace

batches_api::batches_api(process_context& context,
                         config_follower& config,
                         cancelled_jobs& cancelled)
    : context_(&context), config_(&config), cancelled_(&cancelled) {}

asio::awaitable<void> batches_api::Handle(http_exchange& exchange,
                                          caller_request request) {
  result<std::string> answer = co_await Dispatch(exchange, request);
  if (!answer) {
    co_await SendError(exchange, answer.error(), request.request_id);
  } else {
    co_await SendJson(exchange, 200, std::move(*answer), request.request_id);
  }
}

asio::awaitable<result<std::string>> batches_api::Dispatch(
    http_exchange& exchange,
    caller_request request) {
  const std::vector<std::string> parts = request.target.segments;
  const std::string method = request.head.method;
  if (parts.size() == 2 && method == "POST") {
    result<std::string> body = co_await exchange.ReadBody(kMaxBodyBytes);
    if (!body) {
      co_return Fail(body.error());
    }
    if (ContainsKey(*body)) {
      co_return Fail(error_kind::invalid_request,
                     "the body contains a key; a key may only be sent in the "
                     "Authorization header");
    }
    co_return co_await CreateBatch(std::move(*body), std::move(request));
  }
  if (parts.size() == 2 && method == "GET") {
    co_return co_await ListBatches(std::move(request));
  }
  if (parts.size() == 3 && method == "GET") {
    co_return co_await GetBatch(request.account, parts[2]);
  }
  if (parts.size() == 4 && parts[3] == "cancel" && method == "POST") {
    result<job_record> job = co_await Cancel(request.account, parts[2]);
    if (!job) {
      co_return Fail(job.error());
    }
    co_return co_await GetBatch(request.account, parts[2]);
  }
  co_return Fail(error_kind::not_found, method + " " + request.target.path +
                                            " is not part of the batches API");
}

asio::awaitable<result<void>> batches_api::CreateIfAbsent(std::string key,
                                                          std::string value) {
  const write_condition absent = write_if_absent{};
  result<std::uint64_t> written =
      co_await context_->store().Put(std::move(key), std::move(value), absent);
  if (!written && written.error().kind() != error_kind::conflict) {
    co_return Fail(written.error());
  }
  co_return result<void>();
}

asio::awaitable<result<std::string>> batches_api::CreateBatch(
    std::string body,
    caller_request request) {
  auto parsed = ParseBatchRequest(body);
  if (!parsed) {
    co_return Fail(parsed.error());
  }
  auto file = co_await ReadStored<file_manifest>(
      context_->store(), batch_keys::File(parsed->input_file_id));
  if (!file) {
    co_return Fail(file.error());
  }
  if (!*file) {
    co_return Fail(error_kind::not_found, "the input file does not exist");
  }
  auto job = CreateJob(request.account, (*file)->value, parsed->endpoint,
                       request.head.headers.Get("Idempotency-Key").value_or(""),
                       context_->time().WallNow(), RandomHex(kNonceBytes));
  if (!job) {
    co_return Fail(job.error());
  }
  // A repeated request for a job that has ended must not fail because a model
  // has been removed since.
  auto existing = co_await ReadStored<job_record>(context_->store(),
                                                  batch_keys::Job(job->id));
  if (!existing) {
    co_return Fail(existing.error());
  }
  if (*existing && (*existing)->value.finished()) {
    co_return co_await GetBatch(request.account, job->id);
  }
  result<std::string> deployment =
      co_await CheckItems((*file)->value, request, parsed->endpoint);
  if (!deployment) {
    co_return Fail(deployment.error());
  }
  account_entry listed{job->id, *deployment, parsed->metadata};
  result<void> stored = co_await CreateIfAbsent(
      batch_keys::Account(request.account, job->id), listed.ToJson());
  if (stored) {
    stored = co_await CreateIfAbsent(batch_keys::Job(job->id), job->ToJson());
  }
  if (stored) {
    open_job_entry open;
    open.job_id = job->id;
    open.account = request.account;
    open.weight = request.view->content().FindAccount(request.account)->weight;
    open.created = job->created;
    open.nonce = RandomHex(kNonceBytes);
    stored = co_await CreateIfAbsent(batch_keys::Open(*deployment, job->id),
                                     open.ToJson());
  }
  if (!stored) {
    // The job may be partly stored and may therefore run.
    co_return Fail(stored.error().WithOutcome(outcome::may_have_run));
  }
  co_return co_await GetBatch(request.account, job->id);
}

asio::awaitable<result<std::string>> batches_api::CheckItems(
    const file_manifest& file,
    const caller_request& request,
    std::string endpoint) {
  std::string deployment;
  std::uint64_t number = 0;
  for (const std::string& chunk : file.chunks) {
    auto text = co_await context_->store().Get(batch_keys::Chunk(chunk));
    if (!text) {
      co_return Fail(text.error());
    }
    auto items = ParseChunk(*text ? (*text)->value : std::string());
    if (!items) {
      co_return Fail(items.error());
    }
    for (const batch_item& item : *items) {
      ++number;
      const std::string item_label =
          "item " + std::to_string(number) + " (\"" + item.custom_id + "\"): ";
      auto target = FindItemDeployment(request.view->content(), request.account,
                                       endpoint, item);
      if (!target) {
        co_return Fail(target.error().kind(),
                       item_label + target.error().message());
      }
      if (!deployment.empty() && *target != deployment) {
        std::string message = item_label;
        message.append("is for \"").append(*target);
        message.append("\", but the items before it are for \"");
        message.append(deployment);
        message.append("\"; all items of a job must be for one deployment");
        co_return Fail(error_kind::invalid_request, std::move(message));
      }
      deployment = std::move(*target);
    }
  }
  co_return deployment;
}

asio::awaitable<result<std::string>> batches_api::ListBatches(
    caller_request request) {
  result<std::size_t> size = ParsePageSize(request.target);
  if (!size) {
    co_return Fail(size.error());
  }
  const std::string prefix = batch_keys::AccountPrefix(request.account);
  std::string start_after;
  if (const auto after = request.target.Query("after")) {
    start_after = prefix + *after;
  }
  auto page = co_await context_->store().List(prefix, start_after, *size);
  if (!page) {
    co_return Fail(page.error());
  }
  std::vector<std::string> jobs;
  for (const object_listing::entry& entry : page->entries) {
    result<std::string> job =
        co_await GetBatch(request.account, entry.key.substr(prefix.size()));
    if (!job && job.error().kind() == error_kind::store_unavailable) {
      co_return Fail(job.error());
    }
    if (job) {
      jobs.push_back(std::move(*job));
    } else if (job.error().kind() != error_kind::not_found) {
      kLog.Warning("A batch job is left out of a listing.",
                   {{"key", entry.key}, {"reason", job.error().message()}});
    }
  }
  co_return DescribeBatches(jobs, page->more);
}

asio::awaitable<result<job_record>> batches_api::FindJob(std::string account,
                                                         std::string job_id) {
  auto job = co_await ReadStored<job_record>(context_->store(),
                                             batch_keys::Job(job_id));
  if (!job) {
    co_return Fail(job.error());
  }
  if (!*job || (*job)->value.account != account) {
    co_return Fail(NoSuchBatch());
  }
  co_return std::move((*job)->value);
}

asio::awaitable<result<account_entry>> batches_api::FindEntry(
    std::string account,
    std::string job_id) {
  auto entry = co_await ReadStored<account_entry>(
      context_->store(), batch_keys::Account(account, job_id));
  if (!entry) {
    co_return Fail(entry.error());
  }
  if (!*entry) {
    co_return Fail(NoSuchBatch());
  }
  co_return std::move((*entry)->value);
}

asio::awaitable<result<std::string>> batches_api::GetBatch(std::string account,
                                                           std::string job_id) {
  result<job_record> job = co_await FindJob(account, job_id);
  if (!job) {
    co_return Fail(job.error());
  }
  result<account_entry> entry = co_await FindEntry(account, job_id);
  if (!entry) {
    co_return Fail(entry.error());
  }
  co_return DescribeBatch(*job, entry->metadata);
}

asio::awaitable<result<job_record>> batches_api::Cancel(std::string account,
                                                        std::string job_id) {
  result<job_record> job =
      co_await StartJobCancel(context_->store(), account, job_id);
  if (!job && job.error().kind() != error_kind::store_unavailable) {
    co_return Fail(job.error());
  }
  if (!job && pending_cancels_ >= kMaxPendingCancels) {
    co_return Fail(job.error());
  }
  cancelled_->Add(batch_keys::Cancelled(account, job_id),
                  context_->time().Now());
  if (!job) {
    ++pending_cancels_;
    asio::co_spawn(context_->control(), RetryCancel(account, job_id),
                   kEndOnException);
    co_return Fail(job.error().WithOutcome(outcome::may_have_run));
  }
  if (job->state == job_state::cancelling) {
    asio::co_spawn(context_->control(), FinishCancel(*job), kEndOnException);
  }
  co_return job;
}

asio::awaitable<void> batches_api::RetryCancel(std::string account,
                                               std::string job_id) {
  while (true) {
    co_await SleepFor(kRetryInterval);
    cancelled_->Add(batch_keys::Cancelled(account, job_id),
                    context_->time().Now());
    result<job_record> job =
        co_await StartJobCancel(context_->store(), account, job_id);
    if (job || job.error().kind() != error_kind::store_unavailable) {
      --pending_cancels_;
    }
    if (job) {
      kLog.Info("A pending cancellation was stored.", {{"job", job_id}});
      if (job->state == job_state::cancelling) {
        co_await FinishCancel(*job);
      }
      co_return;
    }
    if (job.error().kind() != error_kind::store_unavailable) {
      kLog.Info("A pending cancellation was dropped.",
                {{"job", job_id}, {"error", job.error().message()}});
      co_return;
    }
  }
}

asio::awaitable<void> batches_api::FinishCancel(job_record job) {
  while (true) {
    result<account_entry> entry = co_await FindEntry(job.account, job.id);
    result<void> close_result;
    if (entry) {
      close_result =
          co_await SweepCancelledJob(context_->store(), job, entry->deployment);
    } else {
      close_result = Fail(entry.error());
    }
    if (close_result) {
      co_return;
    }
    if (close_result.error().kind() != error_kind::store_unavailable) {
      kLog.Warning(
          "The groups of a cancelled job could not be closed.",
          {{"job", job.id}, {"error", close_result.error().message()}});
      co_return;
    }
    co_await SleepFor(kRetryInterval);
  }
}

}  // namespace cardamomyard
