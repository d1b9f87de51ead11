#ifndef CARDAMOMYARD_TEST_HARNESS_PORTS_H_
#define CARDAMOMYARD_TEST_HARNESS_PORTS_H_

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard::harness {

/// \brief Reserves an address that a child process can listen on, also after a
/// restart.
///
/// The IP number in 127.0.0.0/8 belongs to this test process alone, and the
/// system chooses the port, so tests that run at the same time never collide.
result<host_address> ReserveAddress();

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_PORTS_H_
