#ifndef CARDAMOMYARD_NODE_ACCOUNT_ENTRY_H_
#define CARDAMOMYARD_NODE_ACCOUNT_ENTRY_H_

#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Lists a job below its account: `batch/account/<account>/<job id>`,
/// create only. It may exist without a job when its creation was cut.
struct account_entry {
  std::string job_id;
  std::string deployment;
  std::string metadata = "{}";  ///< JSON text, as the caller gave it.

  std::string ToJson() const;
  static result<account_entry> Parse(std::string_view text);
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ACCOUNT_ENTRY_H_
