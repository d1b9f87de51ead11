#ifndef CARDAMOMYARD_CONFIG_EDIT_H_
#define CARDAMOMYARD_CONFIG_EDIT_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/config/configuration.h"

namespace cardamomyard {

/// \returns one readable line for each entity that differs: "+ id: keys",
/// "- id" or "~ id: key old -> new".
std::vector<std::string> Diff(const configuration& before,
                              const configuration& after);

/// \brief Replaces all folder entities and keeps the api entities.
///
/// A withdrawn key of the folder stays withdrawn and stays known, also when the
/// folder says otherwise or no longer names it, so that applying an older
/// folder never revives it. Its id can't be used for another hash.
/// \param folder  the result of ParseFolder.
/// \returns conflict when a folder entity has the name of an api entity.
result<configuration> ApplyFolder(const configuration& current,
                                  const configuration& folder);

/// \brief Creates or replaces an api entity.
/// \returns conflict, with the file's name, when the folder defines it.
result<configuration> PutApiEntity(const configuration& current,
                                   const entity& value);

/// \brief Removes an api entity.
/// \param id  for instance "account/acme".
/// \returns conflict, with the file's name, when the folder defines it.
result<configuration> RemoveApiEntity(const configuration& current,
                                      std::string_view id);

/// \brief Withdraws a key of either origin; repeating it changes nothing.
result<configuration> WithdrawKey(const configuration& current,
                                  std::string_view key_id);

namespace internal {
/// \returns the configuration of \p records, or invalid_request naming the
/// rules that are broken.
result<configuration> MakeChecked(std::vector<record_ptr> records);
}  // namespace internal

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_EDIT_H_
