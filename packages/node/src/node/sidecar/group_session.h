#ifndef CARDAMOMYARD_NODE_SIDECAR_GROUP_SESSION_H_
#define CARDAMOMYARD_NODE_SIDECAR_GROUP_SESSION_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/batch.h"
#include "src/node/sidecar/batch_parts.h"
#include "src/node/sidecar/item_runner.h"
#include "src/node/sidecar/segment_queue.h"

namespace cardamomyard {

/// \brief A group that this sidecar has claimed.
struct claimed_group {
  job_record job;
  std::size_t group = 0;
  std::vector<batch_item> items;
  group_record record;
  std::uint64_t version = 0;
};

/// \brief Runs the items of a claimed group until the group is done, released,
/// lost or cancelled.
///
/// Everything runs on the worker's thread. At most one write to the group
/// record is in progress at a time.
class group_session : public std::enable_shared_from_this<group_session> {
 public:
  group_session(batch_parts& parts,
                const boost::asio::any_io_executor& executor,
                claimed_group claimed,
                std::atomic<std::int64_t>& tokens);

  /// Runs until the session ends.
  boost::asio::awaitable<void> Run();
  /// \returns whether no item is left to start, so that another group can use
  /// free slots.
  bool exhausted() const { return exhausted_; }
  const std::string& key() const { return key_; }

 private:
  enum class end_reason { none, done, released, lost, cancelled };

  boost::asio::awaitable<void> StartItems();
  /// \returns whether every item of \p items got a slot.
  bool StartRepeatable(const std::vector<std::size_t>& items);
  boost::asio::awaitable<void> StartNonRepeatable(
      std::vector<std::size_t> items);
  void Launch(std::shared_ptr<item_run> run, std::optional<slot> acquired_slot);
  boost::asio::awaitable<void> RunItem(std::shared_ptr<item_run> run,
                                       std::optional<slot> acquired_slot);
  boost::asio::awaitable<item_outcome> RunIsolated(
      std::shared_ptr<item_run> run);
  std::optional<slot> OfferSlot(const std::shared_ptr<item_run>& run);
  std::shared_ptr<item_run> MakeRun(std::size_t item);
  void RecordOutcome(const std::shared_ptr<item_run>& run,
                     item_outcome run_result);

  bool CommitDue() const;
  boost::asio::awaitable<void> CommitNow();
  boost::asio::awaitable<bool> StoreSegment(std::string name, std::string text);
  boost::asio::awaitable<bool> StoreRecord(group_record next);
  void CountCommitted(const std::vector<item_result>& results);
  boost::asio::awaitable<void> CheckJob();
  boost::asio::awaitable<void> ReleaseGroup();
  boost::asio::awaitable<void> CountFinishedGroup();
  void StopRunningItems();
  void Wake();
  boost::asio::awaitable<void> Wait();
  bool Cancelled() const;
  bool CheckDrain();
  std::vector<std::size_t> BusyItems() const;
  bool LeaseValid() const;
  bool Repeatable(const std::string& url) const;

  batch_parts* parts_;
  boost::asio::any_io_executor executor_;
  job_record job_;
  std::size_t group_;
  std::string key_;
  std::vector<batch_item> items_;
  group_record record_;
  std::uint64_t version_;
  group_lease lease_;
  item_runner runner_;
  segment_queue pending_;
  std::map<std::size_t, std::shared_ptr<item_run>> running_;
  std::map<std::size_t, std::shared_ptr<item_run>> preempted_;
  std::atomic<std::int64_t>* tokens_;
  boost::asio::steady_timer timer_;
  end_reason end_reason_ = end_reason::none;
  bool exhausted_ = false;
  bool committing_ = false;
  bool slot_denied_ = false;
  bool wake_requested_ = false;
  std::uint64_t segments_ = 0;
  time_point last_commit_;
  time_point last_job_check_;
  std::optional<time_point> drain_start_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_GROUP_SESSION_H_
