#include "cardamomctl/admin_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <utility>

namespace cardamomyard::ctl {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{2000};
constexpr std::chrono::milliseconds kAnswerTimeout{120'000};
constexpr std::size_t kMaxAnswerBytes = 256U << 20U;

}  // namespace

admin_client::admin_client(options settings, std::unique_ptr<http_client> http)
    : options_(std::move(settings)), http_(std::move(http)) {}

result<std::unique_ptr<admin_client>> admin_client::Create(options settings) {
  std::optional<tls_files> tls;
  if (!settings.ca_file.empty()) {
    tls = tls_files{"", "", settings.ca_file};
  }
  auto http = http_client::Create(tls);
  if (!http) {
    return Fail(http.error());
  }
  return std::unique_ptr<admin_client>(
      new admin_client(std::move(settings), std::move(*http)));
}

result<http_response> admin_client::Call(const std::string& method,
                                         const std::string& target,
                                         const std::string& body) {
  result<http_response> answer =
      Fail(error_kind::invalid_request, "--server is required");
  for (const host_address& server : options_.servers) {
    http_request request{method, target, {}, body};
    request.headers.Set("Authorization", "Bearer " + options_.token);
    request.headers.Set("X-Author", options_.author);
    if (!body.empty()) {
      request.headers.Set("Content-Type", "application/json");
    }
    call_options limits;
    limits.connect_timeout = kConnectTimeout;
    limits.head_timeout = kAnswerTimeout;
    answer = boost::asio::co_spawn(threads_.At(0),
                                   http_->Fetch(server, std::move(request),
                                                limits, kMaxAnswerBytes),
                                   boost::asio::use_future)
                 .get();
    const bool may_repeat =
        !answer &&
        (method == "GET" || answer.error().ran() == outcome::not_run);
    if (!may_repeat) {
      return answer;
    }
  }
  return answer;
}

}  // namespace cardamomyard::ctl
