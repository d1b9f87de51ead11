#include "src/gateway/worker_lease.h"

#include <utility>

#include "src/gateway/internal_paths.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::string_view kReleased = "released";

}  // namespace

worker_lease::worker_lease(object_store& store,
                           const clock& time,
                           std::string name,
                           std::int64_t incarnation)
    : store_(&store),
      clock_(&time),
      name_(std::move(name)),
      incarnation_(incarnation) {}

bool worker_lease::IsHeld() const {
  return !released_ && held_until_ && clock_->Now() < *held_until_;
}

asio::awaitable<result<store_record>> worker_lease::Write(std::string value) {
  if (revision_ == 0) {
    co_return co_await store_->Create(kLeaseKind, name_, std::move(value));
  }
  co_return co_await store_->Replace(kLeaseKind, name_, std::move(value),
                                     revision_);
}

asio::awaitable<bool> worker_lease::Renew() {
  if (released_) {
    co_return false;
  }
  const bool was_held = IsHeld();
  const time_point sent = clock_->Now();
  const std::string value =
      std::to_string(incarnation_) + " " + std::to_string(++renewals_);
  result<store_record> written = co_await Write(value);
  if (!written && (written.error().kind() == error_kind::conflict ||
                   written.error().kind() == error_kind::not_found)) {
    // The record was written by an earlier incarnation or by a renewal whose
    // response was lost.
    const auto current = co_await store_->Get(kLeaseKind, name_);
    if (current) {
      revision_ = *current ? (*current)->revision : 0;
      written = co_await Write(value);
    }
  }
  if (written) {
    revision_ = written->revision;
    held_until_ = sent + kLeaseDuration;
  }
  if (was_held != IsHeld()) {
    log_.Info(IsHeld() ? "The worker holds its lease."
                       : "The worker's lease has lapsed.",
              {{"worker", name_},
               {"renewal", renewals_},
               {"revision", revision_},
               {"reason", written ? "" : written.error().message()}});
  }
  co_return IsHeld();
}

asio::awaitable<void> worker_lease::Release() {
  released_ = true;
  held_until_.reset();
  if (revision_ == 0) {
    co_return;
  }
  const auto written = co_await store_->Replace(
      kLeaseKind, name_, std::string(kReleased), revision_);
  log_.Info("The worker releases its lease.",
            {{"worker", name_},
             {"stored", written ? "yes" : written.error().message()}});
}

asio::awaitable<bool> worker_lease::HasLapsed(std::string owner) {
  const auto record = co_await store_->Get(kLeaseKind, owner);
  if (!record) {
    // Nothing is known about the lease while the store is unavailable.
    observed_leases_.erase(owner);
    co_return false;
  }
  if (*record && (*record)->value == kReleased) {
    co_return true;
  }
  const std::uint64_t revision = *record ? (*record)->revision : 0;
  const time_point now = clock_->Now();
  const auto [entry, added] =
      observed_leases_.try_emplace(owner, observed_lease{revision, now});
  if (added || entry->second.revision != revision) {
    entry->second = {revision, now};
    co_return false;
  }
  co_return now - entry->second.since >= kTakeoverDelay;
}

}  // namespace cardamomyard
