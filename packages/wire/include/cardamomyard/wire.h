#ifndef CARDAMOMYARD_WIRE_H_
#define CARDAMOMYARD_WIRE_H_

/// \file
/// Public header of the package wire: control messages between the system's own
/// processes, encoded with Thrift's compact protocol.

#include "src/wire/codec.h"
#include "src/wire/fleet_codec.h"
#include "src/wire/fleet_messages.h"
#include "src/wire/messages.h"

#endif  // CARDAMOMYARD_WIRE_H_
