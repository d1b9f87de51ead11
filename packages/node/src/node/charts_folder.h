#ifndef CARDAMOMYARD_NODE_CHARTS_FOLDER_H_
#define CARDAMOMYARD_NODE_CHARTS_FOLDER_H_

#include <string>

namespace cardamomyard {

/// \returns the folder of the state charts to use when none is configured:
/// `../share/cardamomyard/charts` relative to the program's folder if it
/// exists, else `charts` in the working directory.
std::string DefaultChartsFolder();

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CHARTS_FOLDER_H_
