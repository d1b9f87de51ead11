#ifndef CARDAMOMYARD_WIRE_CODEC_H_
#define CARDAMOMYARD_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "cardamomyard/base.h"
#include "src/wire/messages.h"

namespace cardamomyard {

/// \returns \p message in Thrift's compact protocol.
std::string Encode(const heartbeat& message);
std::string Encode(const heartbeat_reply& message);
std::string Encode(const peer_digest& message);
std::string Encode(const borrow& message);
std::string Encode(const borrow_reply& message);

/// \brief Decodes a message; declared for the message types above.
/// \returns `invalid_request` for anything that is not one whole message.
template <class Message>
result<Message> Decode(std::string_view bytes);

template <>
result<heartbeat> Decode(std::string_view bytes);
template <>
result<heartbeat_reply> Decode(std::string_view bytes);
template <>
result<peer_digest> Decode(std::string_view bytes);
template <>
result<borrow> Decode(std::string_view bytes);
template <>
result<borrow_reply> Decode(std::string_view bytes);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_WIRE_CODEC_H_
