#include "src/node/entry/usage_ledger.h"

#include <array>
#include <boost/json.hpp>
#include <ctime>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::chrono::milliseconds kFlushPoll{10};

}  // namespace

usage_sums& usage_sums::operator+=(const usage_sums& other) {
  completed += other.completed;
  not_run += other.not_run;
  ran += other.ran;
  may_have_run += other.may_have_run;
  prompt_tokens += other.prompt_tokens;
  completion_tokens += other.completion_tokens;
  return *this;
}

void usage_meter::Observe(const std::string& piece) {
  if (!stream_ && piece.starts_with('{')) {
    tokens_ = ReadUsage(piece);
    return;
  }
  stream_ = true;
  for (const stream_event& event : events_.Feed(piece)) {
    if (event.data.find("\"usage\"") == std::string::npos) {
      continue;
    }
    if (const token_usage found = ReadUsage(event.data);
        found != token_usage()) {
      tokens_ = found;
    }
  }
}

std::string UtcDay(wall_time at) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(at);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d", &parts);
  return text.data();
}

usage_ledger::usage_ledger(store_client& store,
                           const clock& time,
                           std::string writer)
    : store_(&store), clock_(&time), writer_(std::move(writer)) {}

std::string usage_ledger::Prefix(std::string_view day,
                                 std::string_view account) {
  const std::size_t number = Hash64(account) % kParts;
  return "usage/" + std::string(day) + "/" + (number < 10 ? "0" : "") +
         std::to_string(number) + "/";
}

void usage_ledger::Record(const usage_subject& subject,
                          const std::optional<error>& failure,
                          const token_usage& tokens) {
  usage_sums delta;
  if (!failure) {
    delta.completed = 1;
  } else if (failure->ran() == outcome::not_run) {
    delta.not_run = 1;
  } else if (failure->ran() == outcome::ran) {
    delta.ran = 1;
  } else {
    delta.may_have_run = 1;
  }
  delta.prompt_tokens = tokens.prompt;
  delta.completion_tokens = tokens.completion;
  const std::string key =
      Prefix(UtcDay(clock_->WallNow()), subject.account) + writer_;
  const std::lock_guard lock(mutex_);
  part& counted = parts_[key];
  counted.rows[subject] += delta;
  counted.dirty = true;
}

asio::awaitable<result<void>> usage_ledger::Flush() {
  while (flushing_.exchange(true)) {
    co_await SleepFor(kFlushPoll);
  }
  result<void> written = co_await WriteDirtyParts();
  flushing_ = false;
  co_return written;
}

asio::awaitable<result<void>> usage_ledger::WriteDirtyParts() {
  struct pending {
    std::string key;
    std::string value;
    std::uint64_t version;
  };
  std::vector<pending> writes;
  {
    const std::lock_guard lock(mutex_);
    const std::string today = "usage/" + UtcDay(clock_->WallNow()) + "/";
    std::erase_if(parts_, [&today](const auto& entry) {
      return !entry.second.dirty && !entry.first.starts_with(today);
    });
    for (auto& [key, counted] : parts_) {
      if (counted.dirty) {
        counted.dirty = false;
        writes.push_back({key, Encode(counted.rows), counted.version});
      }
    }
  }
  result<void> first;
  for (pending& write : writes) {
    write_condition condition = write_if_absent{};
    if (write.version != 0) {
      condition = write_if_version{write.version};
    }
    result<std::uint64_t> put =
        co_await store_->Put(write.key, std::move(write.value), condition);
    std::uint64_t version = put ? *put : write.version;
    if (!put && put.error().kind() == error_kind::conflict) {
      // An earlier write took effect after its call had failed.
      auto current = co_await store_->Get(write.key);
      if (current) {
        version = *current ? (*current)->version : 0;
      }
    }
    if (!put && first) {
      first = Fail(put.error());
    }
    const std::lock_guard lock(mutex_);
    part& counted = parts_[write.key];
    counted.version = version;
    counted.dirty = counted.dirty || !put;
  }
  co_return first;
}

std::string usage_ledger::Encode(const usage_rows& rows) {
  json::array list;
  for (const auto& [subject, sums] : rows) {
    list.push_back(json::object{{"account", subject.account},
                                {"key", subject.key_id},
                                {"target", subject.target},
                                {"completed", sums.completed},
                                {"not_run", sums.not_run},
                                {"ran", sums.ran},
                                {"may_have_run", sums.may_have_run},
                                {"prompt_tokens", sums.prompt_tokens},
                                {"completion_tokens", sums.completion_tokens}});
  }
  return json::serialize(list);
}

result<usage_rows> usage_ledger::Decode(std::string_view text) {
  usage_rows rows;
  try {
    const json::value parsed = json::parse({text.data(), text.size()});
    for (const json::value& row : parsed.as_array()) {
      const auto string = [&row](const char* name) {
        return json::value_to<std::string>(row.at(name));
      };
      const auto number = [&row](const char* name) {
        return row.at(name).to_number<std::uint64_t>();
      };
      rows[{string("account"), string("key"), string("target")}] +=
          usage_sums{number("completed"),     number("not_run"),
                     number("ran"),           number("may_have_run"),
                     number("prompt_tokens"), number("completion_tokens")};
    }
  } catch (const std::exception& failure) {
    return Fail(error_kind::internal,
                std::string("usage record: ") + failure.what());
  }
  return rows;
}

}  // namespace cardamomyard
