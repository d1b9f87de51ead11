#include "engine/batcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "engine/generated_text.h"

namespace cardamomyard::standins {
namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxKvRecords = 4096;
/// Looking for closed connections costs a system call per sequence.
constexpr std::chrono::milliseconds kClosedCheckPeriod{5};
constexpr std::chrono::milliseconds kLoadSamplePeriod{5};

duration FromMs(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

batcher::batcher(const engine_options& options)
    : options_(options), cache_(options) {
  loads_.push_back({clock_.Now() - options.load_lag, {}});
}

double batcher::StepMs() const {
  return options_.step_ms +
         options_.step_per_seq_ms * static_cast<double>(running_.size());
}

void batcher::Add(sequence& added, const asio::any_io_executor& executor) {
  ++counters_.started;
  waiting_.push_back(&added);
  const time_point now = clock_.Now();
  Admit(now);
  RecordLoad(now);
  if (!stepping_) {
    stepping_ = true;
    asio::co_spawn(executor, Run(), asio::detached);
  }
}

void batcher::Remove(sequence& removed) {
  End(removed, sequence_state::cancelled);
  kv_record record{removed.prompt_hash, removed.prompt_tokens,
                   removed.generated, removed.blocks};
  if (removed.state != sequence_state::crashed) {
    ImportKv(removed.request.id, std::move(record));
  }
}

bool batcher::Cancel(const std::string& id) {
  const auto matches = [&id](const sequence* each) {
    return each->request.id == id || each->request.request_id == id;
  };
  auto found = std::find_if(running_.begin(), running_.end(), matches);
  if (found != running_.end()) {
    End(**found, sequence_state::cancelled);
    return true;
  }
  const auto queued = std::find_if(waiting_.begin(), waiting_.end(), matches);
  if (queued != waiting_.end()) {
    End(**queued, sequence_state::cancelled);
    return true;
  }
  return false;
}

void batcher::Crash() {
  ++counters_.crashes;
  while (!running_.empty()) {
    End(*running_.back(), sequence_state::crashed);
  }
  while (!waiting_.empty()) {
    End(*waiting_.back(), sequence_state::crashed);
  }
  cache_.Clear();
  kv_.clear();
  kv_order_.clear();
}

void batcher::End(sequence& ended, sequence_state state) {
  if (!ended.active()) {
    return;
  }
  if (state == sequence_state::done) {
    ++counters_.completed;
  } else if (state == sequence_state::cancelled) {
    ++counters_.cancelled;
  }
  ended.state = state;
  std::erase(running_, &ended);
  std::erase(waiting_, &ended);
  ended.changed.cancel();
}

asio::awaitable<void> batcher::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  time_point due = clock_.Now();
  while (!running_.empty() || !waiting_.empty()) {
    const time_point started = clock_.Now();
    // Steps keep their average length when the timer fires late.
    due = std::max(due + FromMs(StepMs()), started);
    timer.expires_after(due - started);
    co_await timer.async_wait(asio::use_awaitable);
    const time_point now = clock_.Now();
    CancelClosed(now);
    Step(now);
    Admit(now);
    RecordLoad(now);
  }
  stepping_ = false;
}

void batcher::Admit(time_point now) {
  while (!waiting_.empty() && running_.size() < options_.max_batch) {
    sequence& next = *waiting_.front();
    waiting_.pop_front();
    running_.push_back(&next);
    next.state = sequence_state::running;
    const std::size_t cached = cache_.Match(next.blocks) * kTokensPerBlock;
    // A resumed sequence whose KV state is here needs no prefill; otherwise
    // the tokens that it already has are read like prompt tokens.
    std::size_t unread = next.prompt_tokens -
                         std::min(cached, next.prompt_tokens) +
                         next.request.resume_tokens;
    const kv_record* kept = FindKv(next.request.resume_id);
    if (kept != nullptr && kept->prompt_hash == next.prompt_hash &&
        kept->tokens >= next.request.resume_tokens) {
      unread = 0;
    }
    next.prefilled = now + FromMs(options_.prefill_ms_per_token *
                                  static_cast<double>(unread));
    cache_.Store(next.blocks, now);
  }
}

void batcher::Step(time_point now) {
  if (std::any_of(running_.begin(), running_.end(),
                  [](const sequence* each) { return each->crashes; })) {
    Crash();
    options_.on_crash();
    return;
  }
  const std::vector<sequence*> batch = running_;
  for (sequence* each : batch) {
    if (each->prefilled > now) {
      continue;
    }
    ++each->generated;
    ++counters_.tokens;
    if (each->generated >= each->request.max_tokens) {
      End(*each, sequence_state::done);
    } else if (each->request.stream) {
      each->changed.cancel();
    }
  }
}

void batcher::CancelClosed(time_point now) {
  if (now - closed_checked_ < kClosedCheckPeriod) {
    return;
  }
  closed_checked_ = now;
  std::vector<sequence*> all = running_;
  all.insert(all.end(), waiting_.begin(), waiting_.end());
  for (sequence* each : all) {
    if (each->exchange->PeerClosed()) {
      End(*each, sequence_state::cancelled);
    }
  }
}

void batcher::RecordLoad(time_point now) {
  const bool busy = !running_.empty() || !waiting_.empty();
  if (busy && now - loads_.back().at < kLoadSamplePeriod) {
    return;
  }
  loads_.push_back(
      {now,
       {running_.size(), waiting_.size(), StepMs(), cache_.cached_tokens()}});
  while (loads_.size() > 1 && loads_[1].at <= now - options_.load_lag) {
    loads_.pop_front();
  }
}

engine_load batcher::LaggedLoad() {
  const time_point seen = clock_.Now() - options_.load_lag;
  while (loads_.size() > 1 && loads_[1].at <= seen) {
    loads_.pop_front();
  }
  return loads_.front().load;
}

const kv_record* batcher::FindKv(const std::string& id) const {
  const auto found = kv_.find(id);
  return found == kv_.end() ? nullptr : &found->second;
}

void batcher::ImportKv(const std::string& id, kv_record record) {
  cache_.Store(record.blocks, clock_.Now());
  if (kv_.insert_or_assign(id, std::move(record)).second) {
    kv_order_.push_back(id);
  }
  if (kv_order_.size() > kMaxKvRecords) {
    kv_.erase(kv_order_.front());
    kv_order_.pop_front();
  }
}

}  // namespace cardamomyard::standins
