#ifndef CARDAMOMYARD_NODE_H_
#define CARDAMOMYARD_NODE_H_

/// \file
/// Public header of the package node, which implements the entry and sidecar
/// roles.

#include "src/node/run.h"
#include "src/node/settings.h"

#endif  // CARDAMOMYARD_NODE_H_
