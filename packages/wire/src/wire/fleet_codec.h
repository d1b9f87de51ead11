#ifndef CARDAMOMYARD_WIRE_FLEET_CODEC_H_
#define CARDAMOMYARD_WIRE_FLEET_CODEC_H_

#include <string>
#include <string_view>

#include "src/wire/codec.h"
#include "src/wire/fleet_messages.h"

namespace cardamomyard {

/// \returns \p message in Thrift's compact protocol. \sa Decode
std::string Encode(const load_digest& message);
std::string Encode(const inventory_snapshot& message);
std::string Encode(const job_page_request& message);
std::string Encode(const job_page& message);
std::string Encode(const store_call& message);
std::string Encode(const store_reply& message);

template <>
result<load_digest> Decode(std::string_view bytes);
template <>
result<inventory_snapshot> Decode(std::string_view bytes);
template <>
result<job_page_request> Decode(std::string_view bytes);
template <>
result<job_page> Decode(std::string_view bytes);
template <>
result<store_call> Decode(std::string_view bytes);
template <>
result<store_reply> Decode(std::string_view bytes);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_WIRE_FLEET_CODEC_H_
