#ifndef CARDAMOMYARD_NET_MESSAGE_SIZE_H_
#define CARDAMOMYARD_NET_MESSAGE_SIZE_H_

#include <cstddef>

#include "src/net/http_message.h"

namespace cardamomyard {

/// \returns the bytes of the fields as written in an HTTP/1.1 head.
inline std::size_t MessageBytes(const header_list& headers) {
  std::size_t bytes = 2;  // the empty line after the fields
  for (const http_header& field : headers.all()) {
    bytes += field.name.size() + field.value.size() + 4;  // ": " and CRLF
  }
  return bytes;
}

/// \returns the bytes of a request, without Host and Content-Length, which the
/// client adds.
inline std::size_t MessageBytes(const http_request& request) {
  constexpr std::size_t kStartLine = 12;  // two spaces, HTTP/1.1 and CRLF
  return request.method.size() + request.target.size() + kStartLine +
         MessageBytes(request.headers) + request.body.size();
}

/// \returns the bytes of a response with a reason phrase of two letters.
inline std::size_t MessageBytes(const http_response& response) {
  constexpr std::size_t kStatusLine = 17;  // HTTP/1.1 200 OK and CRLF
  return kStatusLine + MessageBytes(response.headers) + response.body.size();
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_MESSAGE_SIZE_H_
