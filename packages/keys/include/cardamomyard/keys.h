#ifndef CARDAMOMYARD_KEYS_H_
#define CARDAMOMYARD_KEYS_H_

/// \file
/// Public header of the package keys: client keys from creation to check, and
/// what may be passed on to backend servers.

#include "src/keys/client_key.h"
#include "src/keys/credentials.h"
#include "src/keys/forwarding.h"
#include "src/keys/key_table.h"

#endif  // CARDAMOMYARD_KEYS_H_
