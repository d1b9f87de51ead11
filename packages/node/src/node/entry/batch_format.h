#ifndef CARDAMOMYARD_NODE_ENTRY_BATCH_FORMAT_H_
#define CARDAMOMYARD_NODE_ENTRY_BATCH_FORMAT_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/batch.h"

namespace cardamomyard {

/// \brief The parsed body of POST /v1/batches.
struct batch_request {
  std::string input_file_id;
  std::string endpoint;
  std::string metadata = "{}";  ///< A JSON object as text.
};

/// \returns the request, or `invalid_request` with the name of the invalid
/// field.
result<batch_request> ParseBatchRequest(std::string_view body);

/// \returns the JSON representation of a job in the batches API for clients.
std::string DescribeBatch(const job_record& job, std::string_view metadata);

/// \returns the JSON representation of one page of jobs.
/// \param jobs  JSON texts made by DescribeBatch().
std::string DescribeBatches(const std::vector<std::string>& jobs,
                            bool has_more);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_BATCH_FORMAT_H_
