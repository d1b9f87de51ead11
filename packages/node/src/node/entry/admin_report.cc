#include <map>

#include "src/node/entry/admin_call.h"
#include "src/node/entry/admin_json.h"
#include "src/node/entry/batch_reader.h"
#include "src/node/entry/usage_ledger.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr const char* kJobPrefix = "batch/job/";
constexpr std::chrono::hours kDay{24};
constexpr int kMaxDays = 92;

/// \returns the start of the UTC day in the query parameter \p name, which is
/// written as YYYY-MM-DD.
result<wall_time> ParseDay(const admin_call& call, const std::string& name) {
  const auto found = call.query.find(name);
  const std::string text = found == call.query.end() ? "" : found->second;
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%d", &parts);
  const wall_time day =
      std::chrono::system_clock::from_time_t(end ? timegm(&parts) : 0);
  if (end == nullptr || UtcDay(day) != text) {
    return Fail(error_kind::invalid_request,
                name + ": expected a day such as 2026-12-04");
  }
  return day;
}

json::object UsageToJson(const usage_sums& sums) {
  return {{"completed", sums.completed},
          {"not_run", sums.not_run},
          {"ran", sums.ran},
          {"may_have_run", sums.may_have_run},
          {"prompt_tokens", sums.prompt_tokens},
          {"completion_tokens", sums.completion_tokens}};
}

asio::awaitable<result<usage_rows>> ReadDailyUsage(store_client& store,
                                                   std::string day,
                                                   std::string account) {
  auto keys = co_await store.ListAll(usage_ledger::Prefix(day, account));
  if (!keys) {
    co_return Fail(keys.error());
  }
  usage_rows total;
  for (const auto& entry : *keys) {
    auto stored = co_await store.Get(entry.key);
    if (!stored) {
      co_return Fail(stored.error());
    }
    auto rows = usage_ledger::Decode(*stored ? (*stored)->value : "[]");
    if (!rows) {
      co_return Fail(rows.error());
    }
    for (const auto& [subject, sums] : *rows) {
      if (subject.account == account) {
        total[subject] += sums;
      }
    }
  }
  co_return total;
}

asio::awaitable<result<json::array>> ListOnlineUsage(store_client& store,
                                                     std::string account,
                                                     wall_time from,
                                                     wall_time to) {
  json::array days;
  for (wall_time date = from; date <= to; date += kDay) {
    auto rows = co_await ReadDailyUsage(store, UtcDay(date), account);
    if (!rows) {
      co_return Fail(rows.error());
    }
    for (const auto& [subject, sums] : *rows) {
      json::object line{{"day", UtcDay(date)},
                        {"key", subject.key_id},
                        {"target", subject.target}};
      for (const auto& member : UsageToJson(sums)) {
        line[member.key()] = member.value();
      }
      days.push_back(std::move(line));
    }
  }
  co_return days;
}

asio::awaitable<result<json::array>> ListJobs(store_client& store,
                                              std::string account,
                                              wall_time from,
                                              wall_time to) {
  auto keys = co_await store.ListAll(kJobPrefix);
  if (!keys) {
    co_return Fail(keys.error());
  }
  batch_reader reader(store);
  json::array jobs;
  for (const auto& entry : *keys) {
    auto job = co_await reader.Job(
        entry.key.substr(std::string_view(kJobPrefix).size()));
    if (!job) {
      co_return Fail(job.error());
    }
    if (job->account != account || job->created < from ||
        job->created >= to + kDay) {
      continue;
    }
    auto tokens = co_await reader.Tokens(*job);
    if (!tokens) {
      co_return Fail(tokens.error());
    }
    json::object described = json::parse(DescribeJob(*job)).as_object();
    described["prompt_tokens"] = tokens->prompt;
    described["completion_tokens"] = tokens->completion;
    jobs.push_back(std::move(described));
  }
  co_return jobs;
}

}  // namespace

asio::awaitable<admin_response> ServeAdminReport(admin_services& services,
                                                 admin_call call) {
  if (call.path.size() != 1 || call.method != "GET") {
    co_return NoSuchAdminCall(call);
  }
  const auto account = call.query.find("account");
  if (account == call.query.end() || account->second.empty()) {
    co_return Fail(error_kind::invalid_request,
                   "account: expected the name of a client account");
  }
  const auto from = ParseDay(call, "from");
  const auto to = ParseDay(call, "to");
  if (!from || !to) {
    co_return Fail(!from ? from.error() : to.error());
  }
  if (*to < *from || *to - *from > kDay * kMaxDays) {
    co_return Fail(error_kind::invalid_request,
                   "to: expected a day from 0 to 92 days after from");
  }
  store_client& store = services.context->store();
  auto jobs = co_await ListJobs(store, account->second, *from, *to);
  if (!jobs) {
    co_return Fail(jobs.error());
  }
  auto online = co_await ListOnlineUsage(store, account->second, *from, *to);
  if (!online) {
    co_return Fail(online.error());
  }
  const json::object answer{{"account", account->second},
                            {"from", UtcDay(*from)},
                            {"to", UtcDay(*to)},
                            {"batches", std::move(*jobs)},
                            {"online", std::move(*online)}};
  co_return json::serialize(answer);
}

}  // namespace cardamomyard
