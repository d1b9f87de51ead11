#ifndef CARDAMOMYARD_NODE_PROCESS_STATUS_H_
#define CARDAMOMYARD_NODE_PROCESS_STATUS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "src/node/internal_server.h"

namespace cardamomyard {

/// \brief The status that a process reports to operators.
struct process_status {
  std::string id;
  std::string role;
  std::string zone;
  std::uint64_t generation = 0;
  std::uint64_t share_epoch = 0;
  std::string contact;  ///< Name of the contact state.
  std::string state;    ///< For instance "serving" or "draining".
  std::int64_t incarnation = 0;
};

/// Answers GET /internal/status with JSON.
void AddStatusHandler(internal_server& server,
                      std::function<process_status()> describe);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_PROCESS_STATUS_H_
