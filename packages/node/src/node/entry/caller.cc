#include "src/node/entry/caller.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "src/node/internal_api.h"

namespace cardamomyard {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 64;
constexpr std::size_t kNewRequestIdBytes = 12;

bool IsRequestIdCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

}  // namespace

result<void> Authenticate(caller_request& request, bool require_key) {
  if (!require_key) {
    return {};
  }
  auto key = ExtractBearerToken(request.head.headers, request.target.query);
  if (!key) {
    return Fail(key.error());
  }
  if (!*key) {
    return Fail(error_kind::invalid_credentials,
                "a key is required: Authorization: Bearer <key>");
  }
  auto owner = request.view->keys.FindOwner(**key);
  if (!owner) {
    return Fail(owner.error());
  }
  request.account = owner->account;
  request.key_id = owner->key_id;
  return {};
}

std::string ChooseRequestId(const header_list& headers) {
  const std::string sent = headers.Get(internal_api::kRequestId).value_or("");
  const bool well_formed =
      !sent.empty() && sent.size() <= kMaxRequestIdBytes &&
      std::all_of(sent.begin(), sent.end(), IsRequestIdCharacter) &&
      !ContainsKey(sent);
  return well_formed ? sent : "req-" + RandomHex(kNewRequestIdBytes);
}

}  // namespace cardamomyard
