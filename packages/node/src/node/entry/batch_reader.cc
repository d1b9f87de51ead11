#include "src/node/entry/batch_reader.h"

#include <algorithm>
#include <numeric>

#include "src/node/entry/admin_json.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<result<std::string>> batch_reader::Read(std::string key,
                                                        std::string what) {
  auto stored = co_await store_->Get(std::move(key));
  if (!stored) {
    co_return Fail(stored.error());
  }
  if (!*stored) {
    co_return Fail(error_kind::not_found, what + " does not exist");
  }
  co_return std::move((*stored)->value);
}

asio::awaitable<result<job_record>> batch_reader::Job(std::string id) {
  auto text = co_await Read("batch/job/" + id, "batch job " + id);
  if (!text) {
    co_return Fail(text.error());
  }
  co_return job_record::Parse(*text);
}

asio::awaitable<result<file_manifest>> batch_reader::Manifest(
    std::string file_id) {
  auto text = co_await Read("file/" + file_id, "file " + file_id);
  if (!text) {
    co_return Fail(text.error());
  }
  co_return file_manifest::Parse(*text);
}

asio::awaitable<result<group_record>> batch_reader::Group(std::string job_id,
                                                          std::size_t group,
                                                          std::size_t items) {
  auto stored = co_await store_->Get("batch/group/" + job_id + "/" +
                                     std::to_string(group));
  if (!stored) {
    co_return Fail(stored.error());
  }
  if (!*stored) {
    group_record pending;
    pending.items.resize(items);
    co_return pending;
  }
  co_return group_record::Parse((*stored)->value);
}

asio::awaitable<result<std::string>> batch_reader::AccountingLines(
    std::string job_id,
    const file_manifest& manifest,
    std::size_t group) {
  auto chunk = co_await Read("chunk/" + manifest.chunks[group],
                             "chunk " + manifest.chunks[group]);
  if (!chunk) {
    co_return Fail(chunk.error());
  }
  auto items = ParseChunk(*chunk);
  if (!items) {
    co_return Fail(items.error());
  }
  std::vector<std::string> custom_ids;
  for (const batch_item& item : *items) {
    custom_ids.push_back(item.custom_id);
  }
  auto record = co_await Group(std::move(job_id), group, custom_ids.size());
  if (!record) {
    co_return Fail(record.error());
  }
  const auto& counts = manifest.items_per_chunk;
  const std::uint64_t first = std::accumulate(
      counts.begin(), counts.begin() + static_cast<std::ptrdiff_t>(group),
      std::uint64_t{0});
  auto lines = MakeAccountingLines(group, first, *record, custom_ids);
  if (!lines) {
    co_return Fail(lines.error());
  }
  std::string text;
  for (const accounting_line& line : *lines) {
    text += line.ToJson() + "\n";
  }
  co_return text;
}

asio::awaitable<result<token_usage>> batch_reader::Tokens(job_record job) {
  token_usage total;
  for (std::size_t group = 0; group < job.done.size(); ++group) {
    auto record = co_await Group(job.id, group, 0);
    if (!record) {
      co_return Fail(record.error());
    }
    for (const group_item& item : record->items) {
      total.prompt += item.tokens.prompt;
      total.completion += item.tokens.completion;
    }
  }
  co_return total;
}

std::string DescribeJob(const job_record& job) {
  const auto groups_done = std::count(job.done.begin(), job.done.end(), true);
  const std::string_view state = ToString(job.state);
  return json::serialize(json::object{{"id", job.id},
                                      {"account", job.account},
                                      {"file_id", job.file_id},
                                      {"endpoint", job.endpoint},
                                      {"state", std::string(state)},
                                      {"created", UnixMs(job.created)},
                                      {"items", job.items},
                                      {"groups", job.done.size()},
                                      {"groups_done", groups_done},
                                      {"completed", job.counts.completed},
                                      {"failed", job.counts.failed},
                                      {"cancelled", job.counts.cancelled}});
}

}  // namespace cardamomyard
