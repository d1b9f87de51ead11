#include "src/node/entry/admin_api.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "src/node/entry/batch_reader.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("admin");
constexpr std::size_t kMaxAuthorBytes = 128;

using admin_resource = asio::awaitable<admin_answer> (*)(admin_services&,
                                                         admin_call);

admin_resource FindResource(const std::string& name) {
  static const std::map<std::string, admin_resource> resources{
      {"config", ServeAdminConfig},     {"accounts", ServeAdminEntities},
      {"routes", ServeAdminEntities},   {"models", ServeAdminEntities},
      {"services", ServeAdminEntities}, {"keys", ServeAdminKeys},
      {"backends", ServeAdminBackends}, {"limits", ServeAdminLimits},
      {"status", ServeAdminStatus},     {"batches", ServeAdminBatches},
      {"report", ServeAdminReport}};
  const auto found = resources.find(name);
  return found == resources.end() ? nullptr : found->second;
}

result<std::string> ReadAuthor(const header_list& headers) {
  std::string author = headers.Get("X-Author").value_or("admin");
  const bool printable = std::all_of(author.begin(), author.end(), [](char c) {
    return c >= ' ' && c <= '~';
  });
  if (headers.Count("X-Author") > 1 || author.empty() ||
      author.size() > kMaxAuthorBytes || !printable) {
    return Fail(error_kind::invalid_request,
                "X-Author: expected 1 to 128 printable ASCII characters");
  }
  return author;
}

result<admin_call> ReadCall(const caller_request& request) {
  const std::vector<std::string>& segments = request.target.segments;
  if (segments.size() < 3 || segments[0] != "admin" || segments[1] != "v1") {
    return Fail(error_kind::not_found,
                "no administration call " + request.target.path);
  }
  admin_call call;
  call.method = request.head.method;
  call.path.assign(segments.begin() + 2, segments.end());
  call.query = request.target.query;
  // Segments become parts of object keys.
  for (const std::string& segment : call.path) {
    if (segment.empty() || segment.size() > 128 ||
        segment.find_first_of("/\\") != std::string::npos) {
      return Fail(error_kind::not_found, "malformed path");
    }
  }
  auto author = ReadAuthor(request.head.headers);
  if (!author) {
    return Fail(author.error());
  }
  call.author = std::move(*author);
  return call;
}

}  // namespace

result<void> CheckAdminToken(const caller_request& request,
                             const std::string& token) {
  auto given = ExtractBearerToken(request.head.headers, request.target.query);
  if (!given) {
    return Fail(given.error());
  }
  // Hashes have one length, so the time tells nothing about the token.
  if (!*given || !ConstantTimeEqual(Sha256Hex(**given), Sha256Hex(token))) {
    return Fail(error_kind::invalid_credentials,
                "the administration token is missing or wrong");
  }
  return {};
}

admin_api::admin_api(admin_services services)
    : services_(std::move(services)) {}

asio::awaitable<void> admin_api::Serve(http_exchange& exchange,
                                       caller_request request) {
  if (result<void> allowed = CheckAdminToken(request, services_.token);
      !allowed) {
    co_await SendError(exchange, allowed.error(), request.request_id);
    co_return;
  }
  auto call = ReadCall(request);
  if (!call) {
    co_await SendError(exchange, call.error(), request.request_id);
    co_return;
  }
  const admin_resource resource = FindResource(call->path[0]);
  if (resource == nullptr) {
    co_await SendError(exchange, NoSuchAdminCall(*call).value(),
                       request.request_id);
    co_return;
  }
  const std::size_t limit =
      call->path[0] == "config" ? kMaxFolderBytes : kMaxBodyBytes;
  auto body = co_await exchange.ReadBody(limit);
  if (!body) {
    co_await SendError(exchange, body.error(), request.request_id);
    co_return;
  }
  call->body = std::move(*body);
  if (call->path[0] == "batches" && call->path.size() == 3 &&
      call->path[2] == "items" && call->method == "GET") {
    std::optional<error> failure =
        co_await StreamItems(exchange, call->path[1], request.request_id);
    if (failure) {
      co_await SendError(exchange, *failure, request.request_id);
    }
    co_return;
  }
  const bool changes = call->method != "GET";
  const std::string author = call->author;
  admin_answer answer = co_await asio::co_spawn(
      services_.context->background(), resource(services_, std::move(*call)),
      asio::use_awaitable);
  if (changes) {
    kLog.Info("Change requested.",
              {{"call", request.head.method + " " + request.target.path},
               {"author", author},
               {"error",
                answer ? "none" : std::string(ToString(answer.error().kind()))},
               {"request_id", request.request_id}});
  }
  if (!answer) {
    co_await SendError(exchange, answer.error(), request.request_id);
    co_return;
  }
  co_await SendJson(exchange, 200, std::move(*answer), request.request_id);
}

asio::awaitable<std::optional<error>> admin_api::StreamItems(
    http_exchange& exchange,
    std::string job_id,
    std::string request_id) {
  batch_reader reader(services_.context->store());
  auto job = co_await reader.Job(job_id);
  if (!job) {
    co_return job.error();
  }
  auto manifest = co_await reader.Manifest(job->file_id);
  if (!manifest) {
    co_return manifest.error();
  }
  header_list headers;
  headers.Set("Content-Type", "application/jsonl");
  headers.Set("X-Request-Id", std::move(request_id));
  for (std::size_t group = 0; group < manifest->chunks.size(); ++group) {
    auto lines = co_await asio::co_spawn(
        services_.context->background(),
        reader.GroupLines(job_id, *manifest, group), asio::use_awaitable);
    if (!lines) {
      if (group == 0) {
        co_return lines.error();
      }
      // A cut message tells the operator that lines are missing.
      exchange.Abort();
      co_return std::nullopt;
    }
    if (group == 0) {
      co_await exchange.StartStream(200, headers);
    }
    auto sent = co_await exchange.Write(std::move(*lines));
    if (!sent) {
      exchange.Abort();
      co_return std::nullopt;
    }
  }
  if (manifest->chunks.empty()) {
    co_await exchange.StartStream(200, headers);
  }
  co_await exchange.Finish();
  co_return std::nullopt;
}

}  // namespace cardamomyard
