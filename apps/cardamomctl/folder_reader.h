#ifndef CARDAMOMYARD_CARDAMOMCTL_FOLDER_READER_H_
#define CARDAMOMYARD_CARDAMOMCTL_FOLDER_READER_H_

#include <chrono>
#include <string>
#include <vector>

#include "cardamomyard/config.h"

namespace cardamomyard::ctl {

/// \brief Reads the `*.toml` files of a folder, in the order of their names.
result<std::vector<config_file>> ReadFolder(const std::string& folder);

/// \brief Reads the folder until two readings \p pause apart are equal, so that
/// files that are being written are not applied.
result<std::vector<config_file>> ReadStableFolder(
    const std::string& folder,
    std::chrono::milliseconds pause = std::chrono::milliseconds(200));

/// \returns a text that changes with the name, size or modification time of any
/// file of the folder.
std::string FolderStamp(const std::string& folder);

}  // namespace cardamomyard::ctl

#endif  // CARDAMOMYARD_CARDAMOMCTL_FOLDER_READER_H_
