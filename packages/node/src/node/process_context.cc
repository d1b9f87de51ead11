#include "src/node/process_context.h"

#include <utility>

namespace cardamomyard {
namespace {

/// The signer keeps a pointer to the clock, so the clock must outlive every
/// context.
const host_clock& SignatureClock() {
  static const host_clock time;
  return time;
}

std::int64_t WallMilliseconds(const clock& time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.WallNow().time_since_epoch())
      .count();
}

}  // namespace

process_context::process_context(common_settings settings,
                                 request_signer signer)
    : settings_(std::move(settings)),
      signer_(std::move(signer)),
      incarnation_(WallMilliseconds(clock_)),
      resources_(server_resources::Make(CompleteLimits(settings_.machine))),
      traffic_(settings_.threads) {}

process_context::~process_context() {
  StopThreads();
}

result<std::unique_ptr<process_context>> process_context::Create(
    common_settings settings) {
  auto signer = request_signer::Create(settings.secret, SignatureClock());
  if (!signer) {
    return Fail(signer.error());
  }
  auto spans =
      span_writer::Create(settings.trace_file, "cardamomyard-" + settings.id);
  if (!spans) {
    return Fail(spans.error());
  }
  auto internal_http = http_client::Create(settings.internal_tls);
  if (!internal_http) {
    return Fail(internal_http.error());
  }
  std::unique_ptr<process_context> context(
      new process_context(std::move(settings), *signer));
  context->spans_ = std::move(*spans);
  context->http_ = std::move(*http_client::Create());
  context->internal_http_ = std::move(*internal_http);
  context->store_ =
      store_client::Create({.address = context->settings_.store},
                           *context->http_, context->clock_, context->metrics_);
  return context;
}

boost::asio::any_io_executor process_context::control() {
  return control_.At(0).get_executor();
}

boost::asio::any_io_executor process_context::background() {
  return background_.At(0).get_executor();
}

host_address process_context::advertised() const {
  if (settings_.advertise) {
    return *settings_.advertise;
  }
  return bound_.value_or(settings_.internal_listen);
}

void process_context::SetBoundAddress(const host_address& bound) {
  bound_ = bound;
}

void process_context::UpdateResourceMetrics() {
  for (const auto& [name, value] : resources_->Figures()) {
    metrics_.Gauge(name).Set(value);
  }
}

void process_context::StopThreads() {
  control_.Stop();
  background_.Stop();
  traffic_.Stop();
}

}  // namespace cardamomyard
