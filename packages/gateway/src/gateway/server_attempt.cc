#include "src/gateway/server_attempt.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;

std::shared_ptr<server_attempt> server_attempt::Start(
    host_runtime& host,
    const asio::any_io_executor& executor,
    chosen_backend place,
    http_request message,
    call_options options,
    std::function<answer_origin(const header_list&)> origin_of) {
  std::shared_ptr<server_attempt> attempt(new server_attempt(
      host, executor, std::move(place), std::move(origin_of)));
  options.canceller = attempt->canceller_;
  options.origin_of = &attempt->origin_of_;
  options.may_send = &attempt->may_send_;
  asio::co_spawn(
      executor,
      [attempt, message = std::move(message),
       options = std::move(options)]() mutable -> asio::awaitable<void> {
        co_await attempt->Open(std::move(message), std::move(options));
      },
      kEndOnException);
  return attempt;
}

server_attempt::server_attempt(
    host_runtime& host,
    const asio::any_io_executor& executor,
    chosen_backend place,
    std::function<answer_origin(const header_list&)> origin_of)
    : host_(&host),
      place_(std::move(place)),
      origin_of_(std::move(origin_of)),
      may_send_([this] {
        // Again when the request is resent on a new connection.
        if (cancelled_) {
          return false;
        }
        admitted_ = host_->AdmitToBackend(backend());
        if (!admitted_) {
          return false;
        }
        written_ = host_->time().Now();
        return true;
      }),
      canceller_(std::make_shared<call_canceller>()),
      changed_(executor),
      started_(host.time().Now()) {
  host_->RecordStart(backend().id, work_class::online);
}

server_attempt::~server_attempt() {
  EndLoad();
}

asio::awaitable<void> server_attempt::Open(http_request message,
                                           call_options options) {
  response_ = co_await host_->http().Open(backend().address, std::move(message),
                                          std::move(options));
  if (*response_) {
    const http_call& call = ***response_;
    host_->RecordHead(backend(), host_->codec().ParseResponseHead(
                                     call.status(), call.headers()));
  }
  if (cancelled_ && *response_) {
    (**response_)->Cancel();
  }
  NotifyChanged();
}

asio::awaitable<void> server_attempt::Read() {
  piece_ = co_await (**response_)->ReadSome();
  reading_ = false;
  NotifyChanged();
}

void server_attempt::NotifyChanged() {
  Wake();
  if (const auto listener = listener_.lock()) {
    listener->Wake();
  }
}

asio::awaitable<void> server_attempt::WaitForChange(time_point limit) {
  changed_.expires_at(limit);
  co_await changed_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> server_attempt::WaitForHead(time_point limit) {
  if (!response_) {
    co_await WaitForChange(limit);
  }
  co_return response_.has_value();
}

asio::awaitable<std::optional<result<std::string>>> server_attempt::ReadSome(
    time_point limit) {
  if (!piece_ && !reading_) {
    reading_ = true;
    asio::co_spawn(
        changed_.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> {
          co_await self->Read();
        },
        kEndOnException);
  }
  if (!piece_) {
    co_await WaitForChange(limit);
  }
  co_return std::exchange(piece_, std::nullopt);
}

void server_attempt::Cancel() {
  cancelled_ = true;
  canceller_->Cancel();
  if (response_ && *response_) {
    (**response_)->Cancel();
  }
  EndLoad();
}

void server_attempt::EndLoad() {
  if (std::exchange(counted_, false)) {
    host_->RecordEnd(backend().id, work_class::online);
  }
}

}  // namespace cardamomyard
