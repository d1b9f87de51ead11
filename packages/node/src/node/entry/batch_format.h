#ifndef CARDAMOMYARD_NODE_ENTRY_BATCH_FORMAT_H_
#define CARDAMOMYARD_NODE_ENTRY_BATCH_FORMAT_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/batch.h"

namespace cardamomyard {

/// \brief Body of POST /v1/batches.
struct batch_request {
  std::string input_file_id;
  std::string endpoint;
  std::string metadata = "{}";  ///< JSON text of an object.
};

/// \returns the request, or `invalid_request` that names the field.
result<batch_request> ParseBatchRequest(std::string_view body);

/// \returns a job as callers see it.
std::string DescribeBatch(const job_record& job, std::string_view metadata);

/// \returns a page of described jobs.
std::string DescribeBatches(const std::vector<std::string>& jobs,
                            bool has_more);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_BATCH_FORMAT_H_
