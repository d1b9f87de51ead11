#ifndef CARDAMOMYARD_STANDINS_ENGINE_GENERATION_PARSER_H_
#define CARDAMOMYARD_STANDINS_ENGINE_GENERATION_PARSER_H_

#include <string>

#include "cardamomyard/base.h"
#include "engine/sequence.h"

namespace cardamomyard::standins {

/// Reads the body of a chat or plain completion.
/// \returns `invalid_request` when it cannot be generated.
result<generation_request> ParseGeneration(const std::string& body, bool chat);

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_GENERATION_PARSER_H_
