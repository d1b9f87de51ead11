#ifndef CARDAMOMYARD_BASE_H_
#define CARDAMOMYARD_BASE_H_

/// \file
/// Public header of the package base: errors, results, clocks, hashes,
/// encodings.

#include "src/base/backoff.h"
#include "src/base/base64.h"
#include "src/base/clock.h"
#include "src/base/digest.h"
#include "src/base/error.h"
#include "src/base/rendezvous.h"
#include "src/base/result.h"
#include "src/base/utf8.h"

#endif  // CARDAMOMYARD_BASE_H_
