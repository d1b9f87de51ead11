#include "src/batch/item_life.h"

#include <string>

#include "cardamomyard/statechart.h"

namespace cardamomyard::internal {
namespace {

constexpr std::string_view kIntended = "intended";
constexpr std::string_view kSuspect = "suspect";

std::string_view ChartState(const group_item& item) {
  if (item.state != item_state::pending) {
    return ToString(item.state);
  }
  if (item.intent) {
    return kIntended;
  }
  return item.crashes > 0 ? kSuspect : ToString(item_state::pending);
}

item_state StoredState(std::string_view chart_state) {
  for (const item_state state :
       {item_state::completed, item_state::failed, item_state::cancelled}) {
    if (chart_state == ToString(state)) {
      return state;
    }
  }
  return item_state::pending;
}

}  // namespace

result<void> ApplyItemEvent(group_item& item, std::string_view event) {
  const std::string_view before = ChartState(item);
  const auto after = ActiveCharts().batch_item.Next(before, event);
  if (!after) {
    return Fail(error_kind::conflict, "an item that is " + std::string(before) +
                                          " cannot " + std::string(event));
  }
  item.state = StoredState(*after);
  item.intent = *after == kIntended;
  if (*after == kSuspect && event == "crash") {
    ++item.crashes;
  }
  return {};
}

}  // namespace cardamomyard::internal
