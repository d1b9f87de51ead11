#ifndef CARDAMOMYARD_NODE_RUN_H_
#define CARDAMOMYARD_NODE_RUN_H_

#include "src/node/settings.h"

namespace cardamomyard {

/// \brief Runs one role until SIGTERM or SIGINT, then drains it and ends the
/// process.
/// \returns an error when the role could not start.
result<void> RunServer(const server_settings& settings);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_RUN_H_
