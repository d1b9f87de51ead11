#include "src/node/job_updates.h"

#include <utility>

#include "src/node/batch_keys.h"
#include "src/node/stored_record.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kNonceBytes = 8;

asio::awaitable<result<group_record>> CloseGroup(store_client& store,
                                                 std::string key,
                                                 std::size_t items) {
  while (true) {
    auto read = co_await ReadStored<group_record>(store, key);
    if (!read) {
      co_return Fail(read.error());
    }
    std::optional<group_record> before;
    if (*read) {
      before = (*read)->value;
    }
    group_record closed = CloseForCancel(before, items, RandomHex(kNonceBytes));
    if (before && before->finished()) {
      co_return closed;
    }
    const write_condition condition = IfUnchanged(*read);
    result<std::uint64_t> written =
        co_await store.Put(key, closed.ToJson(), condition);
    if (written) {
      co_return closed;
    }
    if (written.error().kind() != error_kind::conflict) {
      co_return Fail(written.error());
    }
  }
}

}  // namespace

asio::awaitable<result<job_record>> UpdateJob(
    store_client& store,
    std::string job_id,
    std::function<result<job_record>(const job_record&)> change) {
  const std::string key = batch_keys::Job(job_id);
  while (true) {
    auto read = co_await ReadStored<job_record>(store, key);
    if (!read) {
      co_return Fail(read.error());
    }
    if (!*read) {
      co_return Fail(error_kind::not_found, "the batch does not exist");
    }
    result<job_record> changed = change((*read)->value);
    if (!changed || *changed == (*read)->value) {
      co_return changed;
    }
    const write_condition condition = IfUnchanged(*read);
    result<std::uint64_t> written =
        co_await store.Put(key, changed->ToJson(), condition);
    if (written) {
      co_return changed;
    }
    if (written.error().kind() != error_kind::conflict) {
      co_return Fail(written.error());
    }
  }
}

asio::awaitable<result<job_record>> RecordGroupDone(store_client& store,
                                                    std::string job_id,
                                                    std::string deployment,
                                                    std::size_t group,
                                                    item_counts counts) {
  std::function<result<job_record>(const job_record&)> change =
      [group, counts](const job_record& job) {
        return MarkGroupDone(job, group, counts, RandomHex(kNonceBytes));
      };
  result<job_record> job = co_await UpdateJob(store, job_id, std::move(change));
  if (job && job->finished()) {
    result<void> removed =
        co_await store.Remove(batch_keys::Open(deployment, job_id));
    if (!removed) {
      co_return Fail(removed.error());
    }
  }
  co_return job;
}

asio::awaitable<result<job_record>> StartJobCancel(store_client& store,
                                                   std::string account,
                                                   std::string job_id) {
  std::function<result<job_record>(const job_record&)> change =
      [account =
           std::move(account)](const job_record& job) -> result<job_record> {
    if (job.account != account) {
      return Fail(error_kind::not_found, "the batch does not exist");
    }
    return StartCancel(job, RandomHex(kNonceBytes));
  };
  co_return co_await UpdateJob(store, std::move(job_id), std::move(change));
}

asio::awaitable<result<void>> SweepCancelledJob(store_client& store,
                                                job_record job,
                                                std::string deployment) {
  auto manifest =
      co_await ReadStored<file_manifest>(store, batch_keys::File(job.file_id));
  if (!manifest) {
    co_return Fail(manifest.error());
  }
  if (!*manifest) {
    co_return Fail(error_kind::internal, "the file of a job is missing");
  }
  const file_manifest& file = (*manifest)->value;
  item_counts totals;
  for (std::size_t group = 0; group < file.chunks.size(); ++group) {
    result<group_record> closed = co_await CloseGroup(
        store, batch_keys::Group(job.id, group), file.items_per_chunk[group]);
    if (!closed) {
      co_return Fail(closed.error());
    }
    totals += closed->Counts();
  }
  std::function<result<job_record>(const job_record&)> change =
      [totals](const job_record& current) {
        return FinishCancel(current, totals, RandomHex(kNonceBytes));
      };
  result<job_record> ended =
      co_await UpdateJob(store, job.id, std::move(change));
  if (!ended) {
    co_return Fail(ended.error());
  }
  co_return co_await store.Remove(batch_keys::Open(deployment, job.id));
}

}  // namespace cardamomyard
