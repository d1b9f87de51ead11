#ifndef CARDAMOMYARD_NODE_ACCOUNT_ENTRY_H_
#define CARDAMOMYARD_NODE_ACCOUNT_ENTRY_H_

#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Record that lists a batch job under its account, with the key
/// `batch/account/<account>/<job id>`. It is created once and never replaced.
/// It may exist without a job when the creation of the job was interrupted.
struct account_entry {
  std::string job_id;
  std::string deployment;
  std::string metadata = "{}";  ///< JSON text as given by the caller.

  std::string ToJson() const;
  static result<account_entry> Parse(std::string_view text);
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ACCOUNT_ENTRY_H_
