#ifndef CARDAMOMYARD_WIRE_THRIFT_BUFFER_H_
#define CARDAMOMYARD_WIRE_THRIFT_BUFFER_H_

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard::internal {

/// \returns \p wire in Thrift's compact protocol.
template <class Wire>
std::string Serialize(const Wire& wire) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  wire.write(&protocol);
  return buffer->getBufferAsString();
}

/// \returns the message, or `invalid_request` for anything that is not exactly
/// one message of at most \p max_bytes.
template <class Wire>
result<Wire> Deserialize(std::string_view bytes, int max_bytes) {
  using apache::thrift::TConfiguration;
  using apache::thrift::transport::TMemoryBuffer;
  const auto fail = [](const std::string& reason) {
    return Fail(error_kind::invalid_request, "control message: " + reason);
  };
  if (bytes.size() > static_cast<std::size_t>(max_bytes)) {
    return fail("too large");
  }
  std::string copy(bytes);
  auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(copy.data()),
      static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE,
      std::make_shared<TConfiguration>(max_bytes));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  Wire wire;
  try {
    wire.read(&protocol);
  } catch (const apache::thrift::TException& failure) {
    return fail(failure.what());
  }
  if (buffer->available_read() != 0) {
    return fail("trailing bytes");
  }
  return wire;
}

/// \returns the elements of \p from, each passed through \p convert.
template <class From, class Convert>
auto ConvertList(const std::vector<From>& from, Convert convert) {
  std::vector<decltype(convert(from.front()))> to;
  to.reserve(from.size());
  std::transform(from.begin(), from.end(), std::back_inserter(to), convert);
  return to;
}

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_WIRE_THRIFT_BUFFER_H_
