#ifndef CARDAMOMYARD_NODE_SIDECAR_BATCH_WORKER_H_
#define CARDAMOMYARD_NODE_SIDECAR_BATCH_WORKER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/batch.h"
#include "src/node/sidecar/batch_parts.h"
#include "src/node/sidecar/group_session.h"

namespace cardamomyard {

/// \brief Runs batch items on the backend server in slots that online work
/// leaves free, on its own thread.
class batch_worker {
 public:
  /// \param parts  dependencies; the worker sets the clients in it.
  explicit batch_worker(batch_parts parts);
  ~batch_worker();
  batch_worker(const batch_worker&) = delete;
  batch_worker& operator=(const batch_worker&) = delete;

  void Start();
  /// Ends the thread. Claimed groups stay claimed until their leases expire.
  void Stop();

  /// \returns whether no group is claimed.
  bool idle() const { return held_groups_ == 0; }
  /// \returns the tokens of committed results.
  std::int64_t tokens() const { return tokens_; }
  /// Sets the number of sidecars; the interval between listings of the open
  /// jobs grows with it.
  void SetFleetSize(std::size_t sidecars) { fleet_size_ = sidecars; }

 private:
  boost::asio::awaitable<void> Run();
  bool MayClaim() const;
  boost::asio::awaitable<void> ListJobs();
  boost::asio::awaitable<bool> ClaimNext();
  boost::asio::awaitable<bool> ClaimFromJob(const open_job_entry& open);
  boost::asio::awaitable<bool> ClaimGroup(job_record job,
                                          file_manifest file,
                                          std::size_t group);
  boost::asio::awaitable<void> Sweep(job_record job);
  boost::asio::awaitable<void> RunSession(
      std::shared_ptr<group_session> session);
  boost::asio::awaitable<result<file_manifest>> ReadManifest(
      std::string file_id);
  void ForgetJob(const std::string& job_id);
  /// \returns whether this or another sidecar is known to hold the group.
  bool IsHeld(const std::string& key) const;

  batch_parts parts_;
  thread_pool pool_{1};
  std::unique_ptr<http_client> http_;
  std::unique_ptr<store_client> store_;
  std::string holder_;
  job_picker picker_;
  std::map<std::string, open_job_entry> open_jobs_;     // By job id.
  std::map<std::string, wall_time> lease_ends_;         // By group key.
  std::map<std::string, time_point> cancelling_since_;  // By job id.
  std::map<std::string, file_manifest> manifests_;
  std::vector<std::shared_ptr<group_session>> sessions_;
  time_point next_listing_;
  std::atomic<std::size_t> fleet_size_{1};
  std::atomic<int> held_groups_{0};
  std::atomic<std::int64_t> tokens_{0};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_BATCH_WORKER_H_
