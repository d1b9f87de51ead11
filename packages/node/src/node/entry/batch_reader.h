#ifndef CARDAMOMYARD_NODE_ENTRY_BATCH_READER_H_
#define CARDAMOMYARD_NODE_ENTRY_BATCH_READER_H_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "cardamomyard/batch.h"
#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief Reads the stored records of batch jobs for the administration API.
class batch_reader {
 public:
  explicit batch_reader(store_client& store) : store_(&store) {}

  /// \returns the job, or `not_found`.
  boost::asio::awaitable<result<job_record>> Job(std::string id);
  boost::asio::awaitable<result<file_manifest>> Manifest(std::string file_id);
  /// \returns the record of a group, or a new record of \p items pending items
  /// when no sidecar has claimed the group yet.
  boost::asio::awaitable<result<group_record>> Group(std::string job_id,
                                                     std::size_t group,
                                                     std::size_t items);
  /// \returns one accounting line for each item of a group, as JSON lines.
  boost::asio::awaitable<result<std::string>> AccountingLines(
      std::string job_id,
      const file_manifest& manifest,
      std::size_t group);
  /// \returns the sum of the token counts of all items of a job.
  boost::asio::awaitable<result<token_usage>> Tokens(job_record job);

 private:
  boost::asio::awaitable<result<std::string>> Read(std::string key,
                                                   std::string what);

  store_client* store_;
};

/// \returns the JSON representation of a job in the administration API.
std::string DescribeJob(const job_record& job);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_BATCH_READER_H_
