#ifndef CARDAMOMYARD_STANDINS_ENGINE_COMPLETION_FORMAT_H_
#define CARDAMOMYARD_STANDINS_ENGINE_COMPLETION_FORMAT_H_

#include <cstddef>
#include <string>

#include "engine/sequence.h"

namespace cardamomyard::standins {

/// \returns the event of generated token \p index; the last one carries the
/// finish reason and the usage.
std::string ChunkEvent(const sequence& generated, std::size_t index);

/// \returns the body of an answer that is not streamed.
std::string WholeAnswer(const sequence& generated);

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_COMPLETION_FORMAT_H_
