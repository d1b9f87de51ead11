#include <charconv>

#include "cardamomyard/telemetry.h"
#include "src/node/entry/admin_call.h"
#include "src/node/entry/admin_json.h"
#include "src/node/entry/batch_reader.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr const char* kJobPrefix = "batch/job/";
constexpr std::size_t kDefaultPageSize = 100;
constexpr std::size_t kMaxPageSize = 1000;
constexpr part_log kLog("admin");

std::string QueryValue(const admin_call& call, const std::string& name) {
  const auto found = call.query.find(name);
  return found == call.query.end() ? "" : found->second;
}

/// Reads at most `limit` jobs for one page and then applies the filter by
/// account, so that the filter cannot cause an unbounded number of reads. A job
/// whose record cannot be read does not hide the others.
asio::awaitable<admin_response> List(admin_services& services,
                                     admin_call call) {
  std::size_t limit = kDefaultPageSize;
  const std::string limit_text = QueryValue(call, "limit");
  if (!limit_text.empty()) {
    const char* end = limit_text.data() + limit_text.size();
    const auto parsed = std::from_chars(limit_text.data(), end, limit);
    if (parsed.ec != std::errc() || parsed.ptr != end || limit == 0 ||
        limit > kMaxPageSize) {
      co_return Fail(error_kind::invalid_request,
                     "limit: expected a whole number from 1 to 1000");
    }
  }
  std::string after = QueryValue(call, "start_after");
  if (!after.empty()) {
    after.insert(0, kJobPrefix);
  }
  const std::string account = QueryValue(call, "account");
  store_client& store = services.context->store();
  auto page = co_await store.List(kJobPrefix, after, limit);
  if (!page) {
    co_return Fail(page.error());
  }
  batch_reader reader(store);
  json::array jobs;
  std::string last;
  for (const auto& entry : page->entries) {
    last = entry.key.substr(std::string_view(kJobPrefix).size());
    auto job = co_await reader.Job(last);
    if (!job && job.error().kind() == error_kind::store_unavailable) {
      co_return Fail(job.error());
    }
    if (!job) {
      kLog.Warning("A batch job is left out of a listing.",
                   {{"job", last}, {"reason", job.error().message()}});
      continue;
    }
    if (account.empty() || job->account == account) {
      jobs.push_back(json::parse(DescribeJob(*job)));
    }
  }
  const json::object answer{
      {"data", std::move(jobs)}, {"more", page->more}, {"last", last}};
  co_return json::serialize(answer);
}

}  // namespace

asio::awaitable<admin_response> ServeAdminBatches(admin_services& services,
                                                  admin_call call) {
  if (call.path.size() == 1 && call.method == "GET") {
    co_return co_await List(services, std::move(call));
  }
  if (call.path.size() == 2 && call.method == "GET") {
    batch_reader reader(services.context->store());
    auto job = co_await reader.Job(call.path[1]);
    if (!job) {
      co_return Fail(job.error());
    }
    co_return DescribeJob(*job);
  }
  if (call.path.size() == 3 && call.path[2] == "cancel" &&
      call.method == "POST") {
    if (!services.cancel_job) {
      co_return Fail(error_kind::not_ready,
                     "this host does not serve batch jobs");
    }
    co_return co_await services.cancel_job(call.path[1]);
  }
  co_return NoSuchAdminCall(call);
}

}  // namespace cardamomyard
