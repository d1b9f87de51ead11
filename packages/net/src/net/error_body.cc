#include "src/net/error_body.h"

#include <boost/json.hpp>

namespace cardamomyard {
namespace json = boost::json;

std::string ErrorBody(const error& cause, std::string_view request_id) {
  const json::value body{{"error",
                          {{"kind", std::string(ToString(cause.kind()))},
                           {"type", std::string(ToString(cause.kind()))},
                           {"message", cause.message()},
                           {"outcome", std::string(ToString(cause.ran()))},
                           {"request_id", std::string(request_id)}}}};
  return json::serialize(body);
}

http_response ErrorResponse(const error& cause, std::string_view request_id) {
  http_response response = JsonResponse(AnswerFor(cause.kind()).http_status,
                                        ErrorBody(cause, request_id));
  if (cause.retry_after()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*cause.retry_after());
    response.headers.Set("Retry-After", std::to_string(seconds.count()));
  }
  return response;
}

error ParseErrorBody(int status, std::string_view body) {
  error unknown =
      error::Make(error_kind::backend_failed,
                  "backend answered status " + std::to_string(status));
  boost::system::error_code code;
  const json::value parsed = json::parse({body.data(), body.size()}, code);
  if (code || !parsed.is_object()) {
    return unknown;
  }
  const json::value* fields = parsed.as_object().if_contains("error");
  if (fields == nullptr || !fields->is_object()) {
    return unknown;
  }
  const auto text = [fields](const char* name) -> std::string {
    const json::value* field = fields->as_object().if_contains(name);
    return field != nullptr && field->is_string()
               ? std::string(field->as_string())
               : std::string();
  };
  const auto kind = ParseErrorKind(text("kind"));
  const auto ran = ParseOutcome(text("outcome"));
  if (!kind || !ran) {
    return unknown;
  }
  return error::Make(*kind, text("message")).WithOutcome(*ran);
}

}  // namespace cardamomyard
