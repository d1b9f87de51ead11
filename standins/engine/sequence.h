#ifndef CARDAMOMYARD_STANDINS_ENGINE_SEQUENCE_H_
#define CARDAMOMYARD_STANDINS_ENGINE_SEQUENCE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

enum class sequence_state { waiting, running, done, cancelled, crashed };

/// \brief What a caller asked the engine to generate.
struct generation_request {
  std::string id;
  std::string request_id;  ///< From `X-Request-Id`.
  std::string model;
  std::string prompt;
  std::string resume_id;
  std::size_t resume_tokens = 0;
  std::size_t max_tokens = 16;
  bool chat = false;
  bool stream = false;
};

/// \brief One sequence in the engine.
struct sequence {
  sequence(generation_request asked_for,
           http_exchange& caller,
           const boost::asio::any_io_executor& executor);

  bool active() const {
    return state == sequence_state::waiting || state == sequence_state::running;
  }

  generation_request request;
  http_exchange* exchange;
  std::uint64_t prompt_hash;
  std::size_t prompt_tokens;
  std::vector<std::uint64_t> blocks;
  sequence_state state = sequence_state::waiting;
  std::size_t generated;  ///< Tokens of the answer that exist so far.
  time_point prefilled;   ///< When the prompt has been read.
  bool crashes = false;
  /// Never expires; cancelling it wakes the handler.
  boost::asio::steady_timer changed;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_SEQUENCE_H_
