#ifndef CARDAMOMYARD_NODE_ENTRY_ITEM_TARGET_H_
#define CARDAMOMYARD_NODE_ENTRY_ITEM_TARGET_H_

#include <string>

#include "cardamomyard/batch.h"
#include "cardamomyard/config.h"

namespace cardamomyard {

/// \brief Finds the deployment that runs a batch item: the model of its body,
/// or the service of its route.
/// \returns `not_found` or `forbidden` when the account may not use it, and
/// `invalid_request` when the item does not belong to \p endpoint.
result<std::string> FindItemDeployment(const configuration& content,
                                       const std::string& account,
                                       const std::string& endpoint,
                                       const batch_item& item);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ITEM_TARGET_H_
