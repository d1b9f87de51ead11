#include "weights/weights_service.h"

#include <algorithm>
#include <boost/json.hpp>

#include "common/json_fields.h"

namespace cardamomyard::standins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kPieceBytes = 64 * 1024;

}  // namespace

weights_service::weights_service(weights_options options) : options_(options) {}

asio::awaitable<void> weights_service::Handle(http_exchange& exchange) {
  const request_target target = ParseTarget(exchange.request().target);
  const auto& parts = target.segments;
  http_response answer = MessageResponse(404, "no such path");
  if (target.path == "/control/stats") {
    answer = Stats();
  } else if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "weights") {
    if (reading_ < options_.max_concurrent) {
      ++reading_;
      co_await SendWeights(exchange);
      --reading_;
      co_return;
    }
    ++refused_;
    answer = MessageResponse(429, "too many concurrent reads");
    answer.headers.Set("Retry-After", "1");
  }
  co_await exchange.Send(std::move(answer));
}

asio::awaitable<void> weights_service::SendWeights(http_exchange& exchange) {
  ++started_;
  most_reading_ = std::max(most_reading_, reading_);
  header_list headers;
  headers.Set("Content-Type", "application/octet-stream");
  result<void> written = co_await exchange.StartStream(200, std::move(headers));
  std::size_t left = options_.object_bytes;
  while (written && left > 0) {
    const std::size_t piece = std::min(left, kPieceBytes);
    co_await SleepFor(Reserve(piece));
    if (exchange.PeerClosed()) {
      co_return;
    }
    std::string content(piece, 'w');
    written = co_await exchange.Write(std::move(content));
    left -= piece;
    bytes_ += piece;
  }
  if (written) {
    co_await exchange.Finish();
    ++completed_;
  }
}

duration weights_service::Reserve(std::size_t bytes) {
  const time_point now = clock_.Now();
  next_free_ =
      std::max(next_free_, now) +
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(bytes) / options_.bytes_per_second));
  return next_free_ - now;
}

http_response weights_service::Stats() const {
  json::object stats;
  stats["started"] = started_;
  stats["completed"] = completed_;
  stats["refused"] = refused_;
  stats["bytes"] = bytes_;
  stats["most_concurrent"] = most_reading_;
  return ObjectResponse(200, stats);
}

}  // namespace cardamomyard::standins
