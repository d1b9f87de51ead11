#include "src/node/sidecar/batch_worker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/batch_keys.h"
#include "src/node/job_updates.h"
#include "src/node/stored_record.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("batch");
constexpr std::size_t kNonceBytes = 8;
constexpr std::chrono::milliseconds kClaimPollInterval{50};
// 3,400 sidecars together list about 340 times a second, a sixth of the read
// budget of the object API.
constexpr std::chrono::milliseconds kListingIntervalPerSidecar{3};
constexpr std::chrono::milliseconds kMinListingInterval{1000};
// The second group is claimed once the first has no item left to start.
constexpr std::size_t kMaxSessions = 2;
// These limits bound the store calls of one scan.
constexpr int kMaxJobsPerScan = 3;
constexpr int kMaxGroupsPerScan = 4;
// Gives the entry host that received the cancellation time to sweep the job.
constexpr std::chrono::seconds kSweepDelay{3};
constexpr std::size_t kMaxManifests = 16;
constexpr std::size_t kMaxKnownLeases = 10'000;

}  // namespace

batch_worker::batch_worker(batch_parts parts)
    : parts_(std::move(parts)),
      http_(std::move(*http_client::Create())),
      store_(store_client::Create({.address = parts_.context->settings().store},
                                  *http_,
                                  parts_.context->time(),
                                  parts_.context->metrics())),
      // The nonce makes a restarted process a different holder.
      holder_(parts_.context->settings().id + "/" + RandomHex(kNonceBytes)),
      picker_(holder_) {
  parts_.http = http_.get();
  parts_.store = store_.get();
}

batch_worker::~batch_worker() {
  Stop();
}

void batch_worker::Start() {
  asio::co_spawn(pool_.At(0), Run(), kEndOnException);
}

void batch_worker::Stop() {
  pool_.Stop();
}

bool batch_worker::MayClaim() const {
  return sessions_.size() < kMaxSessions &&
         std::all_of(
             sessions_.begin(), sessions_.end(),
             [](const auto& session) { return session->exhausted(); }) &&
         parts_.config->view() != nullptr && !parts_.refusal();
}

asio::awaitable<void> batch_worker::Run() {
  const clock& time = parts_.context->time();
  time_point next_claim;
  while (true) {
    if (MayClaim() && time.Now() >= next_claim) {
      if (time.Now() >= next_listing_) {
        co_await ListJobs();
      }
      const bool claimed = co_await ClaimNext();
      if (!claimed) {
        next_claim = next_listing_;
      }
    }
    co_await SleepFor(kClaimPollInterval);
  }
}

asio::awaitable<void> batch_worker::ListJobs() {
  const std::chrono::milliseconds interval =
      std::max(kMinListingInterval,
               kListingIntervalPerSidecar * static_cast<int>(fleet_size_));
  next_listing_ = parts_.context->time().Now() + interval;
  const std::string prefix =
      batch_keys::OpenPrefix(parts_.settings->deployment);
  auto listed = co_await store_->ListAll(prefix);
  if (!listed) {
    co_return;
  }
  std::map<std::string, open_job_entry> open;
  for (const object_listing::entry& entry : *listed) {
    const std::string job_id = entry.key.substr(prefix.size());
    if (const auto known = open_jobs_.find(job_id); known != open_jobs_.end()) {
      open.insert(*known);
      continue;
    }
    auto read = co_await ReadStored<open_job_entry>(*store_, entry.key);
    if (read && *read) {
      open.emplace(job_id, std::move((*read)->value));
    }
  }
  open_jobs_ = std::move(open);
}

void batch_worker::ForgetJob(const std::string& job_id) {
  open_jobs_.erase(job_id);
  cancelling_since_.erase(job_id);
}

asio::awaitable<bool> batch_worker::ClaimNext() {
  std::vector<open_job_entry> candidates;
  for (const auto& [id, entry] : open_jobs_) {
    candidates.push_back(entry);
  }
  for (int attempts = 0; attempts < kMaxJobsPerScan; ++attempts) {
    const std::optional<std::size_t> picked = picker_.PickJob(candidates);
    if (!picked) {
      co_return false;
    }
    const open_job_entry chosen = candidates[*picked];
    const bool claimed = co_await ClaimFromJob(chosen);
    if (claimed) {
      co_return true;
    }
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*picked));
  }
  co_return false;
}

asio::awaitable<bool> batch_worker::ClaimFromJob(const open_job_entry& open) {
  const std::string job_id = open.job_id;
  auto read = co_await ReadStored<job_record>(*store_, batch_keys::Job(job_id));
  if (!read || !*read) {
    co_return false;
  }
  const job_record job = std::move((*read)->value);
  if (job.finished()) {
    ForgetJob(job_id);
    co_await store_->Remove(
        batch_keys::Open(parts_.settings->deployment, job_id));
    co_return false;
  }
  const std::string cancelled = batch_keys::Cancelled(job.account, job_id);
  if (job.state == job_state::cancelling) {
    co_await Sweep(job);
    co_return false;
  }
  if (parts_.cancelled->Contains(cancelled, parts_.context->time().Now())) {
    co_return false;
  }
  result<file_manifest> file = co_await ReadManifest(job.file_id);
  if (!file) {
    co_return false;
  }
  int attempts = 0;
  for (const std::size_t group : picker_.GroupOrder(job)) {
    if (IsHeld(batch_keys::Group(job_id, group))) {
      continue;
    }
    const bool claimed = co_await ClaimGroup(job, *file, group);
    if (claimed || ++attempts == kMaxGroupsPerScan) {
      co_return claimed;
    }
  }
  co_return false;
}

bool batch_worker::IsHeld(const std::string& key) const {
  const auto known_lease = lease_ends_.find(key);
  if (known_lease != lease_ends_.end() &&
      parts_.context->time().WallNow() < known_lease->second) {
    return true;
  }
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [&key](const auto& own) { return own->key() == key; });
}

asio::awaitable<result<file_manifest>> batch_worker::ReadManifest(
    std::string file_id) {
  if (const auto known = manifests_.find(file_id); known != manifests_.end()) {
    co_return known->second;
  }
  auto read =
      co_await ReadStored<file_manifest>(*store_, batch_keys::File(file_id));
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read) {
    co_return Fail(error_kind::internal, "the input file of a job is missing");
  }
  if (manifests_.size() >= kMaxManifests) {
    manifests_.erase(manifests_.begin());
  }
  manifests_.emplace(file_id, (*read)->value);
  co_return std::move((*read)->value);
}

asio::awaitable<bool> batch_worker::ClaimGroup(job_record job,
                                               file_manifest file,
                                               std::size_t group) {
  const std::string key = batch_keys::Group(job.id, group);
  auto read = co_await ReadStored<group_record>(*store_, key);
  if (!read) {
    co_return false;
  }
  std::optional<group_record> current;
  if (*read) {
    current = (*read)->value;
  }
  if (current && current->state == group_state::done) {
    // The last holder ended before it counted the group.
    co_await RecordGroupDone(*store_, job.id, parts_.settings->deployment,
                             group, current->Counts());
    co_return false;
  }
  auto record = Claim(current, file.items_per_chunk[group], holder_,
                      parts_.context->time().WallNow(), kGroupLeaseDuration,
                      RandomHex(kNonceBytes));
  if (!record) {
    if (lease_ends_.size() >= kMaxKnownLeases) {
      lease_ends_.clear();
    }
    if (current) {
      lease_ends_[key] = current->lease_end + kLeaseTakeoverMargin;
    }
    co_return false;
  }
  // The chunk is read before the claim, so that a group whose items cannot be
  // read stays unclaimed.
  auto chunk = co_await store_->Get(batch_keys::Chunk(file.chunks[group]));
  if (!chunk || !*chunk) {
    co_return false;
  }
  auto items = ParseChunk((*chunk)->value);
  if (!items) {
    kLog.Error("A stored chunk cannot be parsed.",
               {{"group", key}, {"error", items.error().message()}});
    co_return false;
  }
  const write_condition condition = IfUnchanged(*read);
  result<std::uint64_t> written =
      co_await store_->Put(key, record->ToJson(), condition);
  if (!written) {
    co_return false;
  }
  parts_.context->metrics()
      .Counter("cardamomyard_batch_groups_claimed_total")
      .Add();
  kLog.Info("A group was claimed.", {{"group", key}, {"fence", record->fence}});
  claimed_group claimed{std::move(job), group, std::move(*items),
                        std::move(*record), *written};
  auto session = std::make_shared<group_session>(
      parts_, pool_.At(0).get_executor(), std::move(claimed), tokens_);
  sessions_.push_back(session);
  ++held_groups_;
  asio::co_spawn(pool_.At(0), RunSession(std::move(session)), kEndOnException);
  co_return true;
}

asio::awaitable<void> batch_worker::RunSession(
    std::shared_ptr<group_session> session) {
  co_await session->Run();
  std::erase(sessions_, session);
  --held_groups_;
}

asio::awaitable<void> batch_worker::Sweep(job_record job) {
  const time_point now = parts_.context->time().Now();
  const auto [seen, first] = cancelling_since_.emplace(job.id, now);
  if (first || now - seen->second < kSweepDelay) {
    co_return;
  }
  result<void> swept =
      co_await SweepCancelledJob(*store_, job, parts_.settings->deployment);
  if (swept) {
    ForgetJob(job.id);
  }
}

}  // namespace cardamomyard
