#ifndef CARDAMOMYARD_TEST_DEMO_BATCH_RUN_H_
#define CARDAMOMYARD_TEST_DEMO_BATCH_RUN_H_

#include <cstddef>
#include <string>

#include "harness/fleet.h"

namespace cardamomyard::demo {

/// \brief What `GET /v1/batches/<id>` tells.
struct job_view {
  std::string id;
  std::string status;
  std::size_t total = 0;
  std::size_t completed = 0;
  std::size_t failed = 0;

  bool ended() const {
    return status == "completed" || status == "cancelled" || status == "failed";
  }
};

/// \returns the lines of a job; every \p refuse_every-th item can never be
/// completed.
std::string MakeItems(const std::string& prefix,
                      std::size_t count,
                      std::size_t refuse_every,
                      int max_tokens);

/// \brief Batch calls of one client account through any entry host.
class batch_caller {
 public:
  batch_caller(harness::fleet& fleet, std::string key);

  /// Uploads the lines and creates a job. The id is empty on a failure.
  job_view Submit(const std::string& lines);
  job_view Read(const std::string& id);
  /// \returns the status of the answer.
  int Cancel(const std::string& id);
  /// \returns the content of a file; nothing readable gives "".
  std::string Content(const std::string& file_id);

 private:
  http_response Call(http_request request);

  harness::fleet* fleet_;
  std::string key_;
  std::size_t next_entry_ = 0;
};

}  // namespace cardamomyard::demo

#endif  // CARDAMOMYARD_TEST_DEMO_BATCH_RUN_H_
