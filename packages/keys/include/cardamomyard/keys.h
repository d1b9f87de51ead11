#ifndef CARDAMOMYARD_KEYS_H_
#define CARDAMOMYARD_KEYS_H_

/// \file
/// Public header of the package keys: creating, checking and redacting client
/// keys, and choosing the headers that are forwarded to backend servers.

#include "src/keys/client_key.h"
#include "src/keys/credentials.h"
#include "src/keys/forwarding.h"
#include "src/keys/key_table.h"

#endif  // CARDAMOMYARD_KEYS_H_
