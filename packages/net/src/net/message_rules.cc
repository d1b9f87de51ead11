#include "src/net/message_rules.h"

#include <algorithm>
#include <string>

namespace cardamomyard {
namespace {

constexpr unsigned char kDelete = 0x7f;

bool IsTokenCharacter(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || kMarks.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == kDelete;
}

tl::unexpected<error> Invalid(std::string_view what, std::string_view problem) {
  return Fail(error_kind::invalid_request,
              std::string(what) + " " + std::string(problem));
}

}  // namespace

result<void> CheckMethod(std::string_view method) {
  if (!IsToken(method)) {
    return Invalid("the method", "is not a token");
  }
  return {};
}

result<void> CheckTarget(std::string_view target) {
  if (!target.starts_with('/')) {
    return Invalid("the path", "does not begin with a slash");
  }
  if (std::any_of(target.begin(), target.end(),
                  [](char c) { return c == ' ' || IsControl(c); })) {
    return Invalid("the path", "holds a space or a control character");
  }
  return {};
}

result<void> CheckHeader(std::string_view name, std::string_view value) {
  if (!IsToken(name)) {
    return Invalid("the name of a header", "is not a token");
  }
  if (name.size() > kMaxHeaderFieldBytes) {
    return Invalid("the name of a header", "is too long");
  }
  const std::string what = "the header " + std::string(name);
  if (value.size() > kMaxHeaderFieldBytes) {
    return Invalid(what, "is longer than " +
                             std::to_string(kMaxHeaderFieldBytes) + " bytes");
  }
  if (std::any_of(value.begin(), value.end(),
                  [](char c) { return c != '\t' && IsControl(c); })) {
    return Invalid(what, "holds a control character");
  }
  return {};
}

result<void> CheckHead(const http_request& request) {
  if (result<void> method = CheckMethod(request.method); !method) {
    return method;
  }
  if (request.method == "TRACE" && !request.body.empty()) {
    return Invalid("a TRACE request", "must not have a body");
  }
  if (result<void> target = CheckTarget(request.target); !target) {
    return target;
  }
  for (const http_header& field : request.headers.all()) {
    if (result<void> header = CheckHeader(field.name, field.value); !header) {
      return header;
    }
  }
  return {};
}

}  // namespace cardamomyard
