#include "src/gateway/active_item.h"

#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{250};
// The head of an item's answer may wait behind a full server's queue.
constexpr std::chrono::milliseconds kHeadTimeout{3000};
// An engine produces an event each 30 ms, and pauses when it reads a prompt
// again.
constexpr std::chrono::milliseconds kEventGap{1500};
constexpr std::size_t kMaxAnswer = 1U << 20U;
constexpr int kImpossible = 422;

}  // namespace

void active_item::Stop() {
  stopped = true;
  canceller->Cancel();
}

asio::awaitable<item_run_result> RunItem(host_runtime& host,
                                         std::shared_ptr<active_item> run,
                                         const job_item& input,
                                         open_item before,
                                         std::string route_host,
                                         std::string account) {
  item_run_result ended;
  ended.text = std::move(before.text);
  ended.last_event = before.last_event;
  ended.any_event = before.any_event;

  forward_fields fields;
  fields.backend = run->backend.id;
  fields.account = std::move(account);
  if (before.any_event) {
    fields.last_event = before.last_event;
  }
  call_options options;
  options.connect_timeout = kConnectTimeout;
  options.head_timeout = kHeadTimeout;
  options.idle_timeout = kEventGap;
  options.reuse_connection = true;
  options.canceller = run->canceller;
  const std::function<bool(const header_list&)> is_answer =
      [&](const header_list& headers) {
        return host.codec().IsResponseTo(headers, input.id);
      };
  options.is_answer = &is_answer;
  const auto cut = [&](const error& cause) {
    ended.ending = cause.ran() == outcome::not_run ? item_ending::refused
                                                   : item_ending::cut;
    ended.server_failed = !run->stopped;
    ended.reason = run->stopped ? "stopped" : cause.message();
  };

  auto call = co_await host.http().Open(
      run->backend.address,
      host.codec().MakeBackendRequest(input, route_host, fields), options);
  if (!call) {
    cut(call.error());
    co_return ended;
  }
  const backend_response_head answer =
      host.codec().ParseResponseHead((*call)->status(), (*call)->headers());
  ended.status = answer.status;
  if (!answer.executed || answer.status != 200) {
    const auto rest = co_await (*call)->ReadAll(kMaxAnswer);
    ended.reason = "status " + std::to_string(answer.status);
    if (answer.status == kImpossible) {
      ended.ending = item_ending::impossible;
    } else if (answer.executed && answer.status >= 500) {
      ended.ending = item_ending::failed;
    } else {
      ended.ending = item_ending::refused;
      ended.server_failed = answer.misdirected || !rest;
    }
    co_return ended;
  }
  event_reader reader;
  while (true) {
    if (run->stopped) {
      (*call)->Cancel();
      cut(error::Make(error_kind::cancelled, "stopped"));
      co_return ended;
    }
    // A canceller only covers the wait for the head.
    options.canceller->SetConnection([&call] { (*call)->Cancel(); });
    result<std::string> piece = co_await (*call)->ReadSome();
    options.canceller->SetConnection(nullptr);
    if (!piece) {
      cut(piece.error().WithOutcome(outcome::may_have_run));
      co_return ended;
    }
    if (piece->empty()) {
      break;
    }
    for (stream_event& event : reader.Feed(*piece)) {
      if (!event.id) {
        continue;
      }
      if (ended.any_event) {
        ended.text += '\n';
      }
      ended.text += event.data;
      ended.last_event = *event.id;
      ended.any_event = true;
    }
  }
  if (!reader.at_boundary()) {
    cut(error::Make(error_kind::backend_failed, "the stream ended early"));
    co_return ended;
  }
  ended.ending = item_ending::completed;
  co_return ended;
}

}  // namespace cardamomyard
