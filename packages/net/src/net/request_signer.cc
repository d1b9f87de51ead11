#include "src/net/request_signer.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>
#include <vector>

namespace cardamomyard {
namespace {

constexpr std::string_view kAuthHeader = "X-Cardamomyard-Auth";
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::size_t kNonceBytes = 8;

std::chrono::milliseconds UnixTime(const clock& time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.WallNow().time_since_epoch());
}

}  // namespace

bool IsInternalHeader(std::string_view name) {
  return SameHeaderName(name.substr(0, kInternalHeaderPrefix.size()),
                        kInternalHeaderPrefix);
}

request_signer::request_signer(std::string secret, const clock& time)
    : secret_(std::move(secret)), clock_(&time) {}

result<request_signer> request_signer::Create(std::string secret,
                                              const clock& time) {
  if (secret.size() < kMinSecretBytes) {
    return Fail(error_kind::invalid_request,
                "the shared secret must have at least 16 bytes");
  }
  return request_signer(std::move(secret), time);
}

std::string request_signer::Digest(const http_request& request,
                                   std::string_view time,
                                   std::string_view nonce) const {
  std::vector<std::string> internal;
  for (const http_header& field : request.headers.all()) {
    if (IsInternalHeader(field.name) &&
        !SameHeaderName(field.name, kAuthHeader)) {
      internal.push_back(field.name + ":" + field.value);
    }
  }
  std::sort(internal.begin(), internal.end());
  std::ostringstream text;
  text << request.method << '\n'
       << request.target << '\n'
       << time << '\n'
       << nonce << '\n';
  for (const std::string& line : internal) {
    text << line << '\n';
  }
  text << Sha256Hex(request.body);
  return HmacSha256Hex(secret_, text.str());
}

void request_signer::Sign(http_request& request) const {
  const std::string time = std::to_string(UnixTime(*clock_).count());
  const std::string nonce = RandomHex(kNonceBytes);
  request.headers.Set(kAuthHeader, "v1 " + time + " " + nonce + " " +
                                       Digest(request, time, nonce));
}

result<void> request_signer::Verify(const http_request& request) const {
  if (request.headers.Count(kAuthHeader) != 1) {
    return Fail(error_kind::forbidden, "internal request without signature");
  }
  std::istringstream fields(*request.headers.Get(kAuthHeader));
  std::string scheme;
  std::string time;
  std::string nonce;
  std::string digest;
  fields >> scheme >> time >> nonce >> digest;
  std::int64_t sent = 0;
  const auto [end, status] =
      std::from_chars(time.data(), time.data() + time.size(), sent);
  if (scheme != "v1" || status != std::errc() ||
      end != time.data() + time.size()) {
    return Fail(error_kind::forbidden, "malformed signature");
  }
  const auto difference =
      std::chrono::abs(UnixTime(*clock_) - std::chrono::milliseconds(sent));
  if (difference > kMaxClockDifference) {
    return Fail(error_kind::forbidden, "signature is too old or too new");
  }
  if (!ConstantTimeEqual(Digest(request, time, nonce), digest)) {
    return Fail(error_kind::forbidden, "signature does not match");
  }
  return {};
}

}  // namespace cardamomyard
