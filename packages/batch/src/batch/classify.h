#ifndef CARDAMOMYARD_BATCH_CLASSIFY_H_
#define CARDAMOMYARD_BATCH_CLASSIFY_H_

#include <optional>

#include "src/base/error.h"
#include "src/batch/item.h"

namespace cardamomyard {

/// \brief Observations of the sidecar on one run of an item.
struct run_report {
  std::optional<int> http_status;  ///< Set when a complete answer arrived.
  std::optional<error> failure;    ///< Set when no complete answer arrived.
  bool engine_died = false;
  bool ran_alone = false;  ///< No other request ran on the engine.
  bool repeatable = true;
};

/// \brief Decides whether a run completes its item, fails it or is retried.
///
/// A run that certainly did not start (`not_run`) is retried without using an
/// attempt. A non-repeatable run of unknown outcome ends as failed.
/// \param index  position of the item in its group.
/// \param before  the item as it was before the run.
item_result ClassifyResult(std::size_t index,
                           const group_item& before,
                           const run_report& report);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_CLASSIFY_H_
