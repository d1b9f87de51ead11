#include "src/node/entry/config_writer.h"

#include <set>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr const char* kHeadKey = "config/head";
constexpr const char* kBlobPrefix = "config/blob/";
constexpr std::size_t kNonceBytes = 16;
constexpr std::chrono::milliseconds kConflictBackoff{10};

/// Returns the blobs of \p head without data, which is enough for unchanged
/// shards: the next head refers to them by name.
blob_set NamedBlobs(const config_head& head) {
  blob_set blobs;
  for (std::size_t i = 0; i < kShardCount; ++i) {
    blobs[i] =
        std::make_shared<const config_blob>(config_blob{head.blobs[i], ""});
  }
  return blobs;
}

}  // namespace

config_writer::config_writer(store_client& store,
                             const clock& time,
                             snapshot_source known,
                             written_callback written)
    : store_(&store),
      clock_(&time),
      known_snapshot_(std::move(known)),
      written_(std::move(written)) {}

asio::awaitable<result<std::optional<config_head>>> config_writer::ReadHead() {
  auto stored = co_await store_->Get(kHeadKey);
  if (!stored) {
    co_return Fail(stored.error());
  }
  if (!*stored) {
    co_return std::nullopt;
  }
  auto head = config_head::Parse((*stored)->value);
  if (!head) {
    co_return Fail(error_kind::internal, head.error().message());
  }
  co_return std::optional(std::move(*head));
}

asio::awaitable<result<configuration>> config_writer::ReadContent(
    config_head head) {
  const auto known = known_snapshot_();
  if (known && known->head == head) {
    co_return known->content;
  }
  blob_map blobs;
  for (const std::string& name : head.blobs) {
    if (blobs.contains(name)) {
      continue;
    }
    auto blob = co_await store_->Get(kBlobPrefix + name);
    if (!blob) {
      co_return Fail(blob.error());
    }
    if (*blob) {
      blobs.emplace(name, std::move((*blob)->value));
    }
  }
  co_return Assemble(head, blobs);
}

asio::awaitable<result<config_writer::current_state>> config_writer::Read() {
  auto stored = co_await store_->Get(kHeadKey);
  if (!stored) {
    co_return Fail(stored.error());
  }
  current_state current;
  if (!*stored) {
    co_return current;
  }
  current.version = (*stored)->version;
  auto head = config_head::Parse((*stored)->value);
  if (!head) {
    co_return Fail(error_kind::internal, head.error().message());
  }
  auto content = co_await ReadContent(*head);
  if (!content) {
    co_return Fail(content.error());
  }
  current.head = std::move(*head);
  current.content = std::move(*content);
  co_return current;
}

asio::awaitable<result<void>> config_writer::CreateBlobs(
    const std::optional<config_head>& before,
    blob_set blobs) {
  std::set<std::string> present;
  if (before) {
    present.insert(before->blobs.begin(), before->blobs.end());
  }
  for (const blob_ptr& blob : blobs) {
    if (!present.insert(blob->name).second) {
      continue;
    }
    auto created =
        co_await store_->CreateImmutable(kBlobPrefix + blob->name, blob->data);
    if (!created) {
      // A blob without a head that names it has no effect.
      co_return Fail(created.error().WithOutcome(outcome::not_run));
    }
  }
  co_return result<void>();
}

asio::awaitable<result<std::optional<config_write_result>>>
config_writer::TryWrite(const config_change& change,
                        const current_state& current,
                        configuration next) {
  result<blob_set> blobs =
      current.head
          ? UpdateShards(NamedBlobs(*current.head), current.content, next)
          : Shard(next);
  if (!blobs) {
    co_return Fail(blobs.error());
  }
  auto created = co_await CreateBlobs(current.head, *blobs);
  if (!created) {
    co_return Fail(created.error());
  }
  const config_head head =
      NextHead(current.head, *blobs, change.author, change.summary,
               clock_->WallNow(), RandomHex(kNonceBytes));
  write_condition condition = write_if_absent{};
  if (current.head) {
    condition = write_if_version{current.version};
  }
  auto put = co_await store_->Put(kHeadKey, head.ToJson(), condition);
  if (!put && put.error().kind() == error_kind::conflict) {
    co_return std::optional<config_write_result>();
  }
  if (!put) {
    co_return Fail(put.error());
  }
  co_await written_();
  co_return std::optional(
      config_write_result{head.generation, Diff(current.content, next)});
}

asio::awaitable<result<config_write_result>> config_writer::Write(
    config_change change) {
  for (int tries = 1;; ++tries) {
    auto current = co_await Read();
    if (!current) {
      co_return Fail(current.error());
    }
    const std::uint64_t generation =
        current->head ? current->head->generation : 0;
    const bool expected = !change.expected_generation ||
                          *change.expected_generation == generation;
    if (!expected && tries == 1) {
      if (!current->head) {
        co_return Fail(error_kind::conflict, "there is no configuration yet");
      }
      co_return Fail(LostRace(*current->head));
    }
    auto next = change.apply(current->content);
    if (next && *next == current->content) {
      // Also reached when this writer's own write succeeded after its call
      // failed and another generation followed: the change is in force, so this
      // is no conflict.
      co_return config_write_result{generation, {}};
    }
    if (!expected) {
      co_return Fail(LostRace(*current->head));
    }
    if (!next) {
      co_return Fail(next.error());
    }
    auto written = co_await TryWrite(change, *current, std::move(*next));
    if (!written) {
      co_return Fail(written.error());
    }
    if (*written) {
      co_return std::move(**written);
    }
    if (tries == kMaxAttempts) {
      co_return Fail(error_kind::conflict,
                     "the configuration was changed by other writers " +
                         std::to_string(kMaxAttempts) + " times; try again");
    }
    co_await SleepFor(kConflictBackoff * tries);
  }
}

}  // namespace cardamomyard
