#include "common/key_detector.h"

#include <algorithm>

namespace cardamomyard::standins {
namespace {

bool HasKey(std::string_view text) {
  return text.find("cy_") != std::string_view::npos;
}

}  // namespace

bool CarriesKey(const http_request& request, std::string_view body) {
  const auto& fields = request.headers.all();
  return request.headers.Get("Authorization").has_value() ||
         HasKey(request.target) || HasKey(body) ||
         std::any_of(fields.begin(), fields.end(),
                     [](const http_header& field) {
                       return HasKey(field.value) || HasKey(field.name);
                     });
}

}  // namespace cardamomyard::standins
