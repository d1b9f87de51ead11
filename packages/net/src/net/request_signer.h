#ifndef CARDAMOMYARD_NET_REQUEST_SIGNER_H_
#define CARDAMOMYARD_NET_REQUEST_SIGNER_H_

#include <chrono>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"
#include "src/net/http_message.h"

namespace cardamomyard {

/// \brief Signs and checks requests between the system's own processes.
///
/// The header is `X-Cardamomyard-Auth: v1 <unix ms> <nonce> <hmac>` with
/// HMAC-SHA-256 over method, target, time, nonce, the internal headers and the
/// SHA-256 of the body.
class request_signer {
 public:
  /// Requests are accepted within this distance from the receiver's time.
  static constexpr std::chrono::seconds kMaxClockDifference{30};

  /// \param secret  the shared secret, at least 16 bytes.
  static result<request_signer> Create(std::string secret, const clock& time);

  /// Adds the signature header to \p request; call it last.
  void Sign(http_request& request) const;

  /// \param request  the received head with its whole body.
  /// \returns an error of kind `forbidden` when the proof is missing or wrong.
  result<void> Verify(const http_request& request) const;

 private:
  request_signer(std::string secret, const clock& time);
  std::string Digest(const http_request& request,
                     std::string_view time,
                     std::string_view nonce) const;

  std::string secret_;
  const clock* clock_;
};

/// Prefix of the headers that only the system's own processes may send.
inline constexpr std::string_view kInternalHeaderPrefix = "X-Cardamomyard-";

/// \returns whether \p name is a header that a caller must not send.
bool IsInternalHeader(std::string_view name);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_REQUEST_SIGNER_H_
