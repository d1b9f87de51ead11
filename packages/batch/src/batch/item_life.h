#ifndef CARDAMOMYARD_BATCH_ITEM_LIFE_H_
#define CARDAMOMYARD_BATCH_ITEM_LIFE_H_

#include <string_view>

#include "cardamomyard/base.h"
#include "src/batch/item.h"

namespace cardamomyard::internal {

/// \brief Applies an event of the state chart `batch_item` to a stored item.
/// \returns `conflict` when the chart has no such transition.
result<void> ApplyItemEvent(group_item& item, std::string_view event);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_BATCH_ITEM_LIFE_H_
