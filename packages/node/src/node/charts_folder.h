#ifndef CARDAMOMYARD_NODE_CHARTS_FOLDER_H_
#define CARDAMOMYARD_NODE_CHARTS_FOLDER_H_

#include <string>

namespace cardamomyard {

/// \returns the folder of the state charts when none is set: the installed one
/// beside the program (`../share/cardamomyard/charts`), else `charts` in the
/// working folder.
std::string DefaultChartsFolder();

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CHARTS_FOLDER_H_
