#ifndef CARDAMOMYARD_BATCH_ACCOUNTING_H_
#define CARDAMOMYARD_BATCH_ACCOUNTING_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/batch/group.h"
#include "src/batch/item.h"

namespace cardamomyard {

/// \brief Accounting data of one item, as needed for an invoice.
struct accounting_line {
  std::uint64_t item = 0;  ///< Position in the file, from 0.
  std::string custom_id;
  item_state state = item_state::pending;
  std::uint32_t attempts = 0;
  token_usage tokens;
  std::string
      segment;  ///< `<group>/<segment>`; empty when no result was stored.
  std::string failure;  ///< Error kind of a failed item.

  std::string ToJson() const;
  friend bool operator==(const accounting_line&,
                         const accounting_line&) = default;
};

/// \brief Makes the accounting lines of one group.
/// \param first_item  position in the file of the group's first item.
/// \param custom_ids  the custom ids of the chunk's items, in order.
result<std::vector<accounting_line>> MakeAccountingLines(
    std::size_t group,
    std::uint64_t first_item,
    const group_record& record,
    const std::vector<std::string>& custom_ids);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_ACCOUNTING_H_
