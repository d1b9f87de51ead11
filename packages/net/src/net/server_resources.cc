#include "src/net/server_resources.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace cardamomyard {
namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
// Share of a machine's memory for what clients make a process hold. The rest is
// for the process itself, its connections and the memory allocator.
constexpr double kMemoryShare = 0.35;
// Share of a machine's memory for open connections, and what one of them takes:
// its head, read buffer and coroutines.
constexpr double kConnectionMemoryShare = 0.25;
constexpr std::size_t kConnectionBytes = 32 * 1024;
// Part of the memory that only small requests may take.
constexpr double kSmallRequestShare = 0.25;
// Descriptors for files, and those that each connection of a client may need
// for the connection to a backend server.
constexpr std::size_t kReservedDescriptors = 200;
constexpr std::size_t kDescriptorsPerConnection = 2;
constexpr std::size_t kMinConnections = 16;
// Of the connections, every fourth is for clients that are no callers.
constexpr std::size_t kOthersPart = 4;
constexpr std::chrono::milliseconds kClosePause{10};
// A client inside its limits sends a body without a pause of this length.
constexpr std::chrono::milliseconds kMinStall{250};
// A client that has begun a request sends the rest of its head within this
// time.
constexpr std::chrono::milliseconds kMinHeadStall{50};
// Answers are cut only for clients that read nothing for this long.
constexpr std::chrono::milliseconds kMinUnreadTime{1000};
constexpr std::size_t kProgressBytes = 4096;

std::size_t Share(std::size_t bytes, double share) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

std::size_t MaxConnections(const machine_limits& machine) {
  std::size_t most = kUnlimited;
  if (machine.memory_bytes > 0) {
    most =
        Share(machine.memory_bytes, kConnectionMemoryShare) / kConnectionBytes;
  }
  if (machine.descriptors > 0) {
    const std::size_t usable =
        machine.descriptors -
        std::min(machine.descriptors, kReservedDescriptors);
    most = std::min(most, usable / kDescriptorsPerConnection);
  }
  return std::max(most, kMinConnections);
}

time_point Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

machine_limits CompleteLimits(const machine_limits& stated) {
  machine_limits limits = stated;
  if (limits.memory_bytes == 0) {
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    if (pages > 0 && page_bytes > 0) {
      limits.memory_bytes = static_cast<std::size_t>(pages) *
                            static_cast<std::size_t>(page_bytes);
    }
  }
  if (limits.descriptors == 0) {
    rlimit allowed{};
    if (::getrlimit(RLIMIT_NOFILE, &allowed) == 0 &&
        allowed.rlim_cur != RLIM_INFINITY) {
      limits.descriptors = static_cast<std::size_t>(allowed.rlim_cur);
    }
  }
  return limits;
}

connection_slot::connection_slot(std::shared_ptr<server_resources> resources,
                                 client_kind kind)
    : resources_(std::move(resources)), kind_(kind) {
  ++resources_->OpenCount(kind_);
}

connection_slot::~connection_slot() {
  if (resources_ != nullptr) {
    --resources_->OpenCount(kind_);
  }
}

connection_holding::connection_holding(const connection_slot& slot,
                                       std::function<void()> close)
    : resources_(slot.resources()),
      kind_(slot.kind()),
      close_(std::move(close)),
      last_progress_(Now()) {
  const std::lock_guard lock(resources_->mutex_);
  position_ =
      resources_->connections_.insert(resources_->connections_.end(), this);
}

connection_holding::~connection_holding() {
  {
    const std::lock_guard lock(resources_->mutex_);
    resources_->connections_.erase(position_);
  }
  GiveBackAll();
}

bool connection_holding::ConfirmClose(bool has_unread_bytes) {
  const connection_stage stage = stage_;
  const bool closes = stage != connection_stage::handling &&
                      (stage != connection_stage::idle || !has_unread_bytes);
  closing_ = closes;
  return closes;
}

void connection_holding::Enter(connection_stage stage) {
  stage_ = stage;
  last_progress_ = Now();
  paused_at_.reset();
  uncounted_progress_ = 0;
}

void connection_holding::BeginBodyRead() {
  if (!paused_at_) {
    Enter(connection_stage::body);
    return;
  }
  last_progress_ = last_progress_.load() + (Now() - *paused_at_);
  stage_ = connection_stage::body;
}

void connection_holding::EndBodyRead(std::size_t bytes) {
  const time_point now = Now();
  uncounted_progress_ += bytes;
  if (uncounted_progress_ >= kProgressBytes) {
    uncounted_progress_ = 0;
    last_progress_ = now;
  }
  paused_at_ = now;
  stage_ = connection_stage::handling;
}

bool connection_holding::Take(std::size_t bytes) {
  const std::size_t limit =
      held_ + bytes <= server_resources::kSmallHolding
          ? resources_->memory_limit_
          : resources_->memory_limit_ -
                Share(resources_->memory_limit_, kSmallRequestShare);
  std::size_t total = resources_->held_;
  do {
    if (bytes > limit || total > limit - bytes) {
      return false;
    }
  } while (!resources_->held_.compare_exchange_weak(total, total + bytes));
  held_ += bytes;
  return true;
}

void connection_holding::ForceTake(std::size_t bytes) {
  resources_->held_ += bytes;
  held_ += bytes;
}

void connection_holding::GiveBack(std::size_t bytes) {
  held_ -= bytes;
  resources_->held_ -= bytes;
}

void connection_holding::GiveBackAll() {
  resources_->held_ -= held_.exchange(0);
}

server_resources::server_resources(const machine_limits& machine)
    : memory_limit_(machine.memory_bytes > 0
                        ? Share(machine.memory_bytes, kMemoryShare)
                        : kUnlimited),
      max_connections_(MaxConnections(machine)) {}

std::shared_ptr<server_resources> server_resources::Make(
    const machine_limits& machine) {
  return std::shared_ptr<server_resources>(new server_resources(machine));
}

bool server_resources::CloseHighest(
    const std::function<double(const connection_holding&)>& score) {
  const std::lock_guard lock(mutex_);
  connection_holding* chosen = nullptr;
  double highest = 0;
  for (connection_holding* candidate : connections_) {
    if (candidate->closing_) {
      continue;
    }
    const double value = score(*candidate);
    if (value > highest) {
      highest = value;
      chosen = candidate;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  chosen->closing_ = true;
  chosen->close_();
  return true;
}

void server_resources::CloseForMemory(const connection_holding& asking) {
  // What the last one held is free in a moment. Many bodies may wait, and each
  // choice looks at all connections.
  time_point last = last_close_;
  if (Now() - last < kClosePause ||
      !last_close_.compare_exchange_strong(last, Now())) {
    return;
  }
  const time_point now = Now();
  const bool closed = CloseHighest([&](const connection_holding& candidate) {
    const duration stalled = now - candidate.last_progress_.load();
    const connection_stage stage = candidate.stage_;
    const bool is_useless =
        (stage == connection_stage::body && stalled >= kMinStall) ||
        (stage == connection_stage::answer && stalled >= kMinUnreadTime);
    if (&candidate == &asking || !is_useless) {
      return 0.0;
    }
    return static_cast<double>(candidate.held_) *
           std::chrono::duration<double>(stalled).count();
  });
  closed_for_memory_ += closed ? 1 : 0;
}

std::size_t server_resources::max_connections(client_kind kind) const {
  const std::size_t for_others =
      std::max(kMinConnections, max_connections_ / kOthersPart);
  return kind == client_kind::others
             ? for_others
             : std::max(kMinConnections,
                        max_connections_ - max_connections_ / kOthersPart);
}

std::optional<connection_slot> server_resources::OpenConnection(
    client_kind kind) {
  if (OpenCount(kind) >= max_connections(kind) && !CloseIdlest(kind)) {
    ++refused_connections_;
    return std::nullopt;
  }
  return connection_slot(shared_from_this(), kind);
}

bool server_resources::CloseIdlest(client_kind kind) {
  const time_point now = Now();
  const bool closed =
      CloseHighest([now, kind](const connection_holding& candidate) {
        if (candidate.kind_ != kind) {
          return 0.0;
        }
        const duration stalled = now - candidate.last_progress_.load();
        switch (candidate.stage_.load()) {
          case connection_stage::idle:
            break;
          case connection_stage::head:
            if (stalled < kMinHeadStall) {
              return 0.0;
            }
            break;
          case connection_stage::body:
            if (stalled < kMinStall) {
              return 0.0;
            }
            break;
          case connection_stage::answer:
            if (stalled < kMinUnreadTime) {
              return 0.0;
            }
            break;
          case connection_stage::handling:
            return 0.0;
        }
        return std::chrono::duration<double>(stalled).count();
      });
  closed_for_connections_ += closed ? 1 : 0;
  return closed;
}

std::vector<std::pair<std::string, std::int64_t>> server_resources::Figures()
    const {
  const auto number = [](std::uint64_t value) {
    return static_cast<std::int64_t>(value);
  };
  const resource_counts now = counts();
  return {
      {"cardamomyard_held_bytes", number(held_)},
      {"cardamomyard_closed_for_memory", number(now.closed_for_memory)},
      {"cardamomyard_closed_for_connections",
       number(now.closed_for_connections)},
      {"cardamomyard_refused_bodies", number(now.refused_bodies)},
      {"cardamomyard_refused_connections", number(now.refused_connections)}};
}

resource_counts server_resources::counts() const {
  return {closed_for_memory_, closed_for_connections_, refused_bodies_,
          refused_connections_};
}

}  // namespace cardamomyard
