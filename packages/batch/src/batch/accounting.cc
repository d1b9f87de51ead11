#include "src/batch/accounting.h"

#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace json = boost::json;

std::string accounting_line::ToJson() const {
  return json::serialize(json::object{{"item", item},
                                      {"custom_id", custom_id},
                                      {"state", ToString(state)},
                                      {"attempts", attempts},
                                      {"prompt_tokens", tokens.prompt},
                                      {"completion_tokens", tokens.completion},
                                      {"segment", segment},
                                      {"error", failure}});
}

result<std::vector<accounting_line>> MakeAccountingLines(
    std::size_t group,
    std::uint64_t first_item,
    const group_record& record,
    const std::vector<std::string>& custom_ids) {
  if (custom_ids.size() != record.items.size()) {
    return Fail(
        error_kind::internal,
        "the chunk and the group record differ in their number of items");
  }
  std::vector<accounting_line> lines;
  for (std::size_t i = 0; i < record.items.size(); ++i) {
    const group_item& item = record.items[i];
    accounting_line line;
    line.item = first_item + i;
    line.custom_id = custom_ids[i];
    line.state = item.state;
    line.attempts = item.attempts;
    line.tokens = item.tokens;
    if (item.segment) {
      line.segment =
          std::to_string(group) + "/" + record.segments[*item.segment];
    }
    if (item.failure) {
      line.failure = ToString(*item.failure);
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace cardamomyard
