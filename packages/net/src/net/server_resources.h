#ifndef CARDAMOMYARD_NET_SERVER_RESOURCES_H_
#define CARDAMOMYARD_NET_SERVER_RESOURCES_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief What the machine of a process has for it. Zero means unlimited.
struct machine_limits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
  friend bool operator==(const machine_limits&,
                         const machine_limits&) = default;
};

/// \returns \p stated, and for what it leaves open the physical memory and the
/// descriptor limit of this process.
machine_limits CompleteLimits(const machine_limits& stated);

/// \brief How much the HTTP servers of a process had to turn away so far.
struct resource_counts {
  std::uint64_t closed_for_memory = 0;
  std::uint64_t closed_for_connections = 0;
  std::uint64_t refused_bodies = 0;
  std::uint64_t refused_connections = 0;
  friend bool operator==(const resource_counts&,
                         const resource_counts&) = default;
};

/// \brief What a connection is doing, for the choice of the one to close.
enum class connection_stage {
  idle,      ///< Waits for a request.
  head,      ///< The head of a request has begun to arrive.
  body,      ///< A body is being read.
  handling,  ///< The handler works; the client is not waited for.
  answer,    ///< Bytes of an answer wait for the client to read.
};

class server_resources;

/// \brief Who connects to a server.
enum class client_kind { callers, others };

/// \brief Counts an open connection for as long as it exists.
class connection_slot {
 public:
  connection_slot(std::shared_ptr<server_resources> resources,
                  client_kind kind);
  connection_slot(connection_slot&& other) noexcept = default;
  ~connection_slot();
  connection_slot(const connection_slot&) = delete;
  connection_slot& operator=(const connection_slot&) = delete;
  connection_slot& operator=(connection_slot&&) = delete;

  const std::shared_ptr<server_resources>& resources() const {
    return resources_;
  }
  client_kind kind() const { return kind_; }

 private:
  std::shared_ptr<server_resources> resources_;
  client_kind kind_;
};

/// \brief One open connection of a server: its stage, when it last made
/// progress, and the memory that is held for it.
class connection_holding {
 public:
  /// \param close  closes the connection; called on any thread, at most once.
  connection_holding(const connection_slot& slot, std::function<void()> close);
  ~connection_holding();
  connection_holding(const connection_holding&) = delete;
  connection_holding& operator=(const connection_holding&) = delete;

  /// Begins a stage.
  void Enter(connection_stage stage);
  /// To be called around each wait for bytes of a body. The time in between
  /// does not count as a lack of progress, and a client that dribbles makes
  /// none: only every 4 KB count.
  void BeginBodyRead();
  void EndBodyRead(std::size_t bytes);

  /// Takes \p bytes more. \returns false when the memory is short.
  bool Take(std::size_t bytes);
  /// Takes \p bytes more even when the memory is short.
  void ForceTake(std::size_t bytes);
  /// Gives back \p bytes of what was taken.
  void GiveBack(std::size_t bytes);
  /// Gives back everything that was taken.
  void GiveBackAll();
  /// To be called on the connection's thread before it is closed as asked.
  /// \returns false when it has become useful since, and shall stay.
  bool ConfirmClose(bool has_unread_bytes);
  std::size_t held() const { return held_; }

 private:
  friend class server_resources;

  std::shared_ptr<server_resources> resources_;
  client_kind kind_;
  std::function<void()> close_;
  std::list<connection_holding*>::iterator position_;
  std::atomic<connection_stage> stage_{connection_stage::idle};
  std::atomic<time_point> last_progress_;
  std::atomic<std::size_t> held_{0};
  std::atomic<bool> closing_{false};
  // Of the body that is being read; used by the connection itself only.
  std::optional<time_point> paused_at_;
  std::size_t uncounted_progress_ = 0;
};

/// \brief Memory and connections that the HTTP servers of one process share.
///
/// Designed for clients that send bodies without end, or many bodies that are
/// never completed. When memory is short, the connections that are least useful
/// are closed: those that hold the most for the longest time without progress.
/// Small requests have a part of the memory that large ones cannot take. At the
/// limit of connections, the one without progress for the longest time is
/// closed. Safe to use from several threads.
class server_resources : public std::enable_shared_from_this<server_resources> {
 public:
  /// A request that holds up to this much may use the whole budget.
  static constexpr std::size_t kSmallHolding = 192 * 1024;

  static std::shared_ptr<server_resources> Make(const machine_limits& machine);

  /// \returns nothing when no more connection may be opened. Closes another one
  /// when that makes room.
  std::optional<connection_slot> OpenConnection(client_kind kind);
  /// Closes the connection that holds memory with the least use, unless another
  /// one is just being closed.
  /// \param asking  is not closed.
  void CloseForMemory(const connection_holding& asking);
  void CountRefusedBody() { ++refused_bodies_; }

  std::size_t memory_limit() const { return memory_limit_; }
  /// \returns how many connections clients of that kind may have.
  std::size_t max_connections(client_kind kind) const;
  std::size_t held() const { return held_; }
  resource_counts counts() const;
  /// \returns names and values for metrics.
  std::vector<std::pair<std::string, std::int64_t>> Figures() const;

 private:
  friend class connection_holding;
  friend class connection_slot;
  std::atomic<std::size_t>& OpenCount(client_kind kind) {
    return kind == client_kind::callers ? open_callers_ : open_others_;
  }
  explicit server_resources(const machine_limits& machine);
  /// Closes the connection of a kind without progress for the longest time.
  bool CloseIdlest(client_kind kind);
  /// Asks the connection with the highest \p score above zero to close.
  /// \returns whether there is one.
  bool CloseHighest(
      const std::function<double(const connection_holding&)>& score);

  const std::size_t memory_limit_;
  const std::size_t max_connections_;
  std::atomic<std::size_t> held_{0};
  std::atomic<std::size_t> open_callers_{0};
  std::atomic<std::size_t> open_others_{0};
  std::atomic<time_point> last_close_{};
  std::atomic<std::uint64_t> closed_for_memory_{0};
  std::atomic<std::uint64_t> closed_for_connections_{0};
  std::atomic<std::uint64_t> refused_bodies_{0};
  std::atomic<std::uint64_t> refused_connections_{0};
  std::mutex mutex_;
  std::list<connection_holding*> connections_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_SERVER_RESOURCES_H_
