#include "src/gateway/job_frontend.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/gateway/internal_paths.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kPeerConnectTimeout{200};
constexpr std::chrono::milliseconds kPeerResponseTimeout{600};
// Limit for one response with results; callers accept at most 1 MB.
constexpr std::size_t kMaxPageBytes = 700'000;
// Within this time a worker reports an accepted job in its backlog.
constexpr std::chrono::milliseconds kBacklogReportDelay{1500};
// The backlog of an unresponsive worker counts until other workers have taken
// over its jobs.
constexpr std::chrono::seconds kBacklogRetention{15};
constexpr std::size_t kMaxCachedOwners = 10'000;
constexpr std::size_t kMaxCachedInputs = 4;

}  // namespace

job_frontend::job_frontend(host_runtime& host) : host_(&host) {}

void job_frontend::OnDigest(const load_digest& digest) {
  if (digest.role == host_role::worker) {
    backlogs_[digest.host] = {digest.backlogs, host_->time().Now()};
  }
}

std::int64_t job_frontend::WaitingTokens(const std::string& account,
                                         const std::string& route) {
  const time_point now = host_->time().Now();
  std::erase_if(recent_jobs_,
                [now](const auto& job) { return now >= job.second.until; });
  std::erase_if(backlogs_, [now](const auto& reported) {
    return now - reported.second.received_at > kBacklogRetention;
  });
  std::int64_t tokens = 0;
  for (const auto& [id, job] : recent_jobs_) {
    if (job.account == account && job.route == route) {
      tokens += job.tokens;
    }
  }
  for (const auto& [worker, reported] : backlogs_) {
    for (const batch_backlog& backlog : reported.backlogs) {
      if (backlog.account == account && backlog.route == route) {
        tokens += backlog.tokens;
      }
    }
  }
  return tokens;
}

std::string job_frontend::ChooseOwner(const std::string& job) const {
  std::vector<std::string> names;
  for (const peer_state* worker :
       host_->peers().LivePeers(host_role::worker, host_->time().Now())) {
    names.push_back(worker->host.name);
  }
  const auto top = RendezvousTop(names, job, 1);
  return top.empty() ? "" : top.front();
}

void job_frontend::NotifyOwner(const std::string& owner,
                               const std::string& job) {
  const peer_state* worker = host_->peers().Find(owner);
  if (worker != nullptr &&
      host_->peers().IsLive(*worker, host_->time().Now())) {
    asio::co_spawn(host_->traffic(), SendNotice(worker->host.address, job),
                   kEndOnException);
  }
}

asio::awaitable<void> job_frontend::SendNotice(host_address worker,
                                               std::string job) {
  http_request request;
  request.method = "POST";
  request.target = kJobChangedPath;
  request.body = job;
  call_options options;
  options.connect_timeout = kPeerConnectTimeout;
  options.head_timeout = kPeerResponseTimeout;
  options.idle_timeout = kPeerResponseTimeout;
  options.reuse_connection = true;
  const auto response =
      co_await host_->http().Fetch(worker, std::move(request), options);
  if (!response || response->status != 200) {
    log_.Warning(
        "The owner of a batch job was not told of a change; it learns of it "
        "from the store.",
        {{"job", job},
         {"worker", worker.ToString()},
         {"reason", response ? "status " + std::to_string(response->status)
                             : response.error().message()}});
  }
}

http_response job_frontend::Refuse(const error& cause,
                                   const inbound_request& caller,
                                   std::string_view job) const {
  log_.Info("A call about a batch job was refused.",
            {{"request", caller.id},
             {"job", job},
             {"kind", ToString(cause.kind())},
             {"ran", ToString(cause.ran())},
             {"reason", cause.message()}});
  return host_->codec().MakeErrorResponse(cause, caller.id);
}

asio::awaitable<http_response> job_frontend::Submit(
    const inbound_request& caller,
    const service_route& route,
    const std::string& account,
    std::string body) {
  const time_point began = host_->time().Now();
  const result<job_input> input =
      host_->codec().ParseJobSubmission(caller.id, body);
  body.clear();
  if (!input) {
    co_return Refuse(input.error(), caller, caller.id);
  }
  fleet_job record;
  record.id = caller.id;
  record.account = account;
  record.route = route.name;
  record.host = route.host;
  record.owner = ChooseOwner(record.id);
  record.total = static_cast<std::int64_t>(input->items.size());
  record.tokens = input->tokens();
  record.submitted_unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          host_->time().WallNow().time_since_epoch())
          .count();
  const std::int64_t waiting = WaitingTokens(account, route.name);
  if (route.waiting_token_cap > 0 && !recent_jobs_.contains(record.id) &&
      waiting + record.tokens > route.waiting_token_cap) {
    // A resubmission of a job that was accepted before is accepted again.
    const auto existing = co_await host_->jobs().Read(record.id);
    if (!existing) {
      co_return Refuse(existing.error().WithOutcome(outcome::may_have_run),
                       caller, record.id);
    }
    if (!*existing) {
      co_return Refuse(
          error::Make(error_kind::rate_limited,
                      std::to_string(waiting) +
                          " tokens are waiting, the job has " +
                          std::to_string(record.tokens) + ", the cap is " +
                          std::to_string(route.waiting_token_cap)),
          caller, record.id);
    }
  } else {
    // Counted before the store answers, so that concurrent submissions do not
    // each pass the cap with the same remaining tokens.
    recent_jobs_[record.id] = {account, route.name, record.tokens,
                               began + kWriteTime + kBacklogReportDelay};
    const result<void> stored =
        co_await host_->jobs().Accept(record, *input, began + kWriteTime);
    if (!stored) {
      recent_jobs_.erase(record.id);
      const error& cause = stored.error();
      co_return Refuse(cause.ran() == outcome::not_run
                           ? cause
                           : error::Make(error_kind::timeout, cause.message()),
                       caller, record.id);
    }
    recent_jobs_[record.id].until = host_->time().Now() + kBacklogReportDelay;
    NotifyOwner(record.owner, record.id);
  }
  log_.Info("A batch job is accepted.",
            {{"request", caller.id},
             {"job", record.id},
             {"account", account},
             {"route", route.name},
             {"items", record.total},
             {"tokens", record.tokens},
             {"waiting_tokens", waiting},
             {"owner", record.owner},
             {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        host_->time().Now() - began)
                        .count()}});
  host_->metrics().Counter("cardamomyard_jobs_accepted_total").Add();
  co_return host_->codec().MakeJobAcceptedResponse();
}

asio::awaitable<http_response> job_frontend::HandleJobCall(
    const inbound_request& caller,
    const job_call& call,
    const std::string& account) {
  if (const auto* results_call = std::get_if<read_job>(&call)) {
    co_return co_await ReadJobResults(caller, *results_call, account);
  }
  if (const auto* item_call = std::get_if<read_job_item>(&call)) {
    co_return co_await ReadItem(caller, *item_call, account);
  }
  co_return co_await Cancel(caller, std::get<cancel_job>(call), account);
}

asio::awaitable<http_response> job_frontend::ReadJobResults(
    const inbound_request& caller,
    read_job call,
    std::string account) {
  call.wait = std::min(call.wait, kMaxReadWait);
  result<job_page> page = job_page{};
  if (auto owned = co_await QueryWorkers(call, account)) {
    page = std::move(*owned);
  } else {
    page = co_await ReadFromStore(call, account);
  }
  if (!page) {
    co_return Refuse(page.error(), caller, call.job);
  }
  const std::int64_t next =
      call.after + static_cast<std::int64_t>(page->results.size());
  co_return host_->codec().MakeJobResultsResponse(page->total, next,
                                                  page->results);
}

asio::awaitable<std::optional<job_page>> job_frontend::QueryWorkers(
    const read_job& call,
    const std::string& account) {
  // The last known owner first, then the worker that would own a new job.
  std::vector<std::string> order;
  const auto add = [&order](const std::string& name) {
    if (!name.empty() &&
        std::find(order.begin(), order.end(), name) == order.end()) {
      order.push_back(name);
    }
  };
  if (const auto known = owner_cache_.find(call.job);
      known != owner_cache_.end()) {
    add(known->second);
  }
  add(ChooseOwner(call.job));
  for (const peer_state* worker :
       host_->peers().LivePeers(host_role::worker, host_->time().Now())) {
    add(worker->host.name);
  }
  job_page_request page_request{call.job, account, call.after, call.wait};
  for (const std::string& name : order) {
    const peer_state* worker = host_->peers().Find(name);
    if (worker == nullptr ||
        !host_->peers().IsLive(*worker, host_->time().Now())) {
      continue;
    }
    http_request request;
    request.method = "POST";
    request.target = kJobPagePath;
    request.body = Encode(page_request);
    call_options options;
    options.connect_timeout = kPeerConnectTimeout;
    options.head_timeout = kPeerResponseTimeout + call.wait;
    options.idle_timeout = kPeerResponseTimeout;
    options.reuse_connection = true;
    const auto response =
        co_await host_->http().Fetch(worker->host.address, request, options);
    if (!response || response->status != 200) {
      log_.Warning(
          "A worker did not return the results of a batch job.",
          {{"job", call.job},
           {"worker", name},
           {"reason", response ? "status " + std::to_string(response->status)
                               : response.error().message()}});
      continue;
    }
    auto page = Decode<job_page>(response->body);
    if (!page) {
      log_.Warning("The response of a worker cannot be parsed.",
                   {{"job", call.job},
                    {"worker", name},
                    {"reason", page.error().message()}});
      continue;
    }
    if (page->state == job_page_state::known) {
      if (owner_cache_.size() >= kMaxCachedOwners) {
        owner_cache_.clear();
      }
      owner_cache_[call.job] = name;
      co_return std::move(*page);
    }
  }
  owner_cache_.erase(call.job);
  co_return std::nullopt;
}

asio::awaitable<result<job_page>> job_frontend::ReadFromStore(
    const read_job& call,
    const std::string& account) {
  const auto job = co_await host_->jobs().Read(call.job);
  if (!job) {
    co_return Fail(job.error().WithOutcome(outcome::not_run));
  }
  if (!*job || (*job)->record.account != account) {
    co_return Fail(error_kind::not_found, "there is no batch job " + call.job);
  }
  job_page page;
  page.state = job_page_state::known;
  page.total = (*job)->record.total;
  const auto stored = co_await host_->jobs().ReadResults(call.job);
  if (!stored) {
    co_return Fail(stored.error().WithOutcome(outcome::not_run));
  }
  auto results = co_await host_->jobs().ReadFrom(call.job, stored->results,
                                                 call.after, kMaxPageBytes);
  if (!results) {
    co_return Fail(results.error().WithOutcome(outcome::not_run));
  }
  page.results = std::move(*results);
  const bool may_grow =
      !(*job)->record.finished && stored->results.count() < page.total;
  if (page.results.empty() && may_grow) {
    // The caller polls; an immediate empty response would only make it poll
    // faster.
    co_await SleepFor(call.wait);
  }
  co_return page;
}

asio::awaitable<http_response> job_frontend::ReadItem(
    const inbound_request& caller,
    read_job_item call,
    std::string account) {
  const auto job = co_await host_->jobs().Read(call.job);
  if (!job) {
    co_return Refuse(job.error().WithOutcome(outcome::not_run), caller,
                     call.job);
  }
  if (!*job || (*job)->record.account != account || (*job)->record.cancelled) {
    co_return Refuse(error::Make(error_kind::not_found,
                                 "there is no open batch job " + call.job),
                     caller, call.job);
  }
  std::shared_ptr<const job_input> input;
  for (const auto& [id, existing] : input_cache_) {
    if (id == call.job) {
      input = existing;
    }
  }
  if (input == nullptr) {
    auto stored_input = co_await host_->jobs().ReadInput((*job)->record);
    if (!stored_input) {
      co_return Refuse(stored_input.error().WithOutcome(outcome::not_run),
                       caller, call.job);
    }
    input = std::make_shared<const job_input>(std::move(*stored_input));
    input_cache_.emplace_front(call.job, input);
    if (input_cache_.size() > kMaxCachedInputs) {
      input_cache_.pop_back();
    }
  }
  const job_item* item = input->Find(call.item);
  if (item == nullptr) {
    co_return Refuse(error::Make(error_kind::not_found,
                                 "the job contains no item " + call.item),
                     caller, call.job);
  }
  co_return host_->codec().MakeJobItemResponse(item->body);
}

asio::awaitable<http_response> job_frontend::Cancel(
    const inbound_request& caller,
    cancel_job call,
    std::string account) {
  const result<std::string> ended = co_await host_->jobs().Cancel(
      call.job, account, host_->time().Now() + kWriteTime);
  if (!ended) {
    // The job may have been cancelled nevertheless; the caller has to retry.
    const error& cause = ended.error();
    co_return Refuse(cause.kind() == error_kind::not_found
                         ? cause
                         : error::Make(error_kind::timeout, cause.message()),
                     caller, call.job);
  }
  NotifyOwner(*ended, call.job);
  log_.Info("A batch job is cancelled by its caller.",
            {{"request", caller.id}, {"job", call.job}, {"account", account}});
  co_return host_->codec().MakeJobCancelledResponse();
}

}  // namespace cardamomyard
