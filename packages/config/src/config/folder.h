#ifndef CARDAMOMYARD_CONFIG_FOLDER_H_
#define CARDAMOMYARD_CONFIG_FOLDER_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/config/configuration.h"

namespace cardamomyard {

/// \brief One file of the operators' folder.
struct config_file {
  std::string name;
  std::string text;
  friend bool operator==(const config_file&, const config_file&) = default;
};

/// \brief One fault in the folder.
struct config_error {
  std::string file;
  int line = 0;
  std::string key;      ///< For instance "account.acme.burst".
  std::string message;  ///< Says the value expected.

  /// \returns "file:line: key: message".
  std::string ToString() const;

  friend bool operator==(const config_error&, const config_error&) = default;
};

/// \brief Merges the files in the order of their names and checks the result.
///
/// A later file overrides single keys of an entry. After the merge every entry
/// must have all its keys (open_rate_per_second and open_burst only on open
/// routes), so that a truncated entry is refused. For the same reason a file
/// that does not end with a line break is refused, since `burst = 4` may be the
/// start of `burst = 40`. \returns the configuration, all of origin folder, or
/// every fault found.
tl::expected<configuration, std::vector<config_error>> ParseFolder(
    std::vector<config_file> files);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_CONFIG_FOLDER_H_
