#ifndef CARDAMOMYARD_NODE_JOB_UPDATES_H_
#define CARDAMOMYARD_NODE_JOB_UPDATES_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "cardamomyard/batch.h"
#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief Replaces a job record by conditional update, again when another
/// writer was faster.
/// \param change  \returns the new record; an equal one is not written.
/// \returns the record as stored.
boost::asio::awaitable<result<job_record>> UpdateJob(
    store_client& store,
    std::string job_id,
    std::function<result<job_record>(const job_record&)> change);

/// Counts a finished group; when that ends the job, removes its open entry.
boost::asio::awaitable<result<job_record>> RecordGroupDone(
    store_client& store,
    std::string job_id,
    std::string deployment,
    std::size_t group,
    item_counts counts);

/// \brief Moves a job of \p account to `cancelling`.
/// \returns `not_found` also for a job of another account.
boost::asio::awaitable<result<job_record>> StartJobCancel(store_client& store,
                                                          std::string account,
                                                          std::string job_id);

/// Closes every group of a job in state `cancelling` and ends the job. Any
/// process may repeat it.
boost::asio::awaitable<result<void>> SweepCancelledJob(store_client& store,
                                                       job_record job,
                                                       std::string deployment);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_JOB_UPDATES_H_
