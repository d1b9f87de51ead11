#ifndef CARDAMOMYARD_STORE_H_
#define CARDAMOMYARD_STORE_H_

/// \file
/// Public header of the package store: client of the platform's object API and
/// copies of its records.

#include "src/store/object_follower.h"
#include "src/store/object_store.h"
#include "src/store/record_replica.h"
#include "src/store/store_client.h"

#endif  // CARDAMOMYARD_STORE_H_
