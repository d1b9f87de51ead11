#ifndef CARDAMOMYARD_BATCH_OPEN_ENTRY_H_
#define CARDAMOMYARD_BATCH_OPEN_ENTRY_H_

#include <string>
#include <string_view>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace cardamomyard {

/// \brief Index entry of an unfinished job, stored as
/// `batch/open/<deployment>/<job id>`.
struct open_job_entry {
  std::string job_id;
  std::string account;
  double weight = 1.0;
  wall_time created;
  std::string nonce;

  std::string ToJson() const;
  static result<open_job_entry> Parse(std::string_view text);
  friend bool operator==(const open_job_entry&,
                         const open_job_entry&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_OPEN_ENTRY_H_
