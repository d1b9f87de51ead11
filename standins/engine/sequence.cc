#include "engine/sequence.h"

#include <utility>

#include "engine/generated_text.h"

namespace cardamomyard::standins {

sequence::sequence(generation_request asked_for,
                   http_exchange& caller,
                   const boost::asio::any_io_executor& executor)
    : request(std::move(asked_for)),
      exchange(&caller),
      prompt_hash(Hash64(request.prompt)),
      prompt_tokens(CountPromptTokens(request.prompt)),
      blocks(PrefixBlocks(request.prompt)),
      generated(request.resume_tokens),
      changed(executor, boost::asio::steady_timer::time_point::max()) {}

}  // namespace cardamomyard::standins
