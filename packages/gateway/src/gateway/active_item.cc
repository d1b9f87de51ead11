#include "src/gateway/active_item.h"

#include <utility>

#include "src/gateway/unsound_event.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{250};
// The response head of an item may wait behind the queue of a full server.
constexpr std::chrono::milliseconds kHeadTimeout{3000};
// An engine produces an event each 30 ms, and pauses while it processes a
// prompt again.
constexpr std::chrono::milliseconds kEventTimeout{1500};
constexpr std::size_t kMaxErrorBodyBytes = 1U << 20U;
// Callers read results in answers of at most 1 MB.
constexpr std::size_t kMaxTextBytes = 1U << 20U;
constexpr int kUnprocessableStatus = 422;

constexpr part_log kLog("worker");

}  // namespace

void active_item::Stop() {
  stopped = true;
  canceller->Cancel();
}

asio::awaitable<item_run_result> RunItem(host_runtime& host,
                                         std::shared_ptr<active_item> run,
                                         const job_item& input,
                                         queued_item progress,
                                         std::string route_host,
                                         std::string account) {
  item_run_result run_result;
  run_result.text = std::move(progress.text);
  run_result.last_event = progress.last_event;
  run_result.any_event = progress.any_event;

  forward_fields fields;
  fields.backend = run->backend.id;
  fields.account = std::move(account);
  if (progress.any_event) {
    fields.last_event = progress.last_event;
  }
  call_options options;
  options.connect_timeout = kConnectTimeout;
  options.head_timeout = kHeadTimeout;
  options.idle_timeout = kEventTimeout;
  options.body_timeout = kEventTimeout;
  options.reuse_connection = true;
  options.canceller = run->canceller;
  const std::function<answer_origin(const header_list&)> origin_of =
      [&](const header_list& headers) {
        return host.codec().OriginOf(headers, input.id);
      };
  options.origin_of = &origin_of;
  options.request_name = input.id;
  bool admitted = true;
  const std::function<bool()> may_send = [&] {
    admitted = host.AdmitToBackend(run->backend);
    return admitted;
  };
  options.may_send = &may_send;
  const auto mark_interrupted = [&](const error& cause) {
    run_result.ending = cause.ran() == outcome::not_run
                            ? item_run_outcome::refused
                            : item_run_outcome::interrupted;
    // That a server which leaves ends is no failure of the item.
    run_result.server_failed =
        !run->stopped && admitted && host.MaySend(run->backend);
    run_result.reason = run->stopped ? "stopped" : cause.message();
  };

  auto call = co_await host.http().Open(
      run->backend.address,
      host.codec().MakeBackendRequest(input, route_host, fields), options);
  if (!call) {
    mark_interrupted(call.error());
    if (call.error().kind() == error_kind::invalid_request) {
      // A stored item that cannot be sent.
      run_result.ending = item_run_outcome::impossible;
      run_result.server_failed = false;
    }
    co_return run_result;
  }
  const backend_response_head head =
      host.codec().ParseResponseHead((*call)->status(), (*call)->headers());
  host.RecordHead(run->backend, head);
  run_result.status = head.status;
  if (!head.executed || head.status != 200) {
    const auto rest = co_await (*call)->ReadAll(kMaxErrorBodyBytes);
    run_result.reason = "status " + std::to_string(head.status);
    if (head.status == kUnprocessableStatus) {
      run_result.ending = item_run_outcome::impossible;
    } else if (head.executed && head.status >= 500) {
      run_result.ending = item_run_outcome::failed;
    } else {
      run_result.ending = item_run_outcome::refused;
      run_result.server_failed = head.misdirected || !rest;
    }
    co_return run_result;
  }
  const item_run_result before = run_result;
  const auto break_off = [&](const std::string& reason) {
    (*call)->Cancel();
    mark_interrupted(error::Make(error_kind::backend_failed, reason));
  };
  if (!head.is_signed || !head.may_be_stream) {
    break_off(head.is_signed ? "the answer is no stream of events"
                             : "a success has no signature");
    co_return run_result;
  }
  answer_reader reader = answer_reader::After(
      fields.last_event, event_numbering::required, FieldCheck(host));
  time_point last_progress = host.time().Now();
  while (true) {
    if (run->stopped) {
      (*call)->Cancel();
      mark_interrupted(error::Make(error_kind::cancelled, "stopped"));
      co_return run_result;
    }
    // By itself the canceller covers only the wait for the response head.
    options.canceller->SetConnection([&call] { (*call)->Cancel(); });
    // Bytes that complete no event are no progress.
    (*call)->LimitReads(last_progress + kEventTimeout - host.time().Now());
    result<std::string> chunk = co_await (*call)->ReadSome();
    options.canceller->SetConnection(nullptr);
    if (!chunk) {
      mark_interrupted(chunk.error().WithOutcome(outcome::may_have_run));
      co_return run_result;
    }
    if (chunk->empty()) {
      break;
    }
    const answer_part part = reader.Feed(*chunk);
    for (const stream_event& event : part.pieces) {
      if (run_result.any_event) {
        run_result.text += '\n';
      }
      run_result.text += event.data;
      run_result.last_event = *event.id;
      run_result.any_event = true;
      last_progress = host.time().Now();
    }
    if (part.unsound) {
      break_off(ReportUnsoundEvent(host, kLog,
                                   {"item", input.id, run->backend.id},
                                   *part.unsound)
                    .message());
      run_result.ending = item_run_outcome::unsound;
      co_return run_result;
    }
    if (reader.too_large() || run_result.text.size() > kMaxTextBytes) {
      // Its text is dropped, as no end of it would ever be reached.
      run_result = before;
      break_off("the answer has no end");
      co_return run_result;
    }
  }
  // Without a length an answer also ends where its server crashes.
  const bool may_be_cut =
      (*call)->ends_with_connection() && !run_result.any_event;
  if (!reader.at_boundary() || may_be_cut) {
    mark_interrupted(
        error::Make(error_kind::backend_failed, "the stream ended early"));
    co_return run_result;
  }
  run_result.ending = item_run_outcome::completed;
  co_return run_result;
}

}  // namespace cardamomyard
