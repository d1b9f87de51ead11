#include "src/net/http_message.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cardamomyard {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

void header_list::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void header_list::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void header_list::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const http_header& field) {
    return SameHeaderName(field.name, name);
  });
}

std::optional<std::string> header_list::Get(std::string_view name) const {
  for (const http_header& field : fields_) {
    if (SameHeaderName(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::size_t header_list::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [name](const http_header& field) {
        return SameHeaderName(field.name, name);
      }));
}

http_response JsonResponse(int status, std::string body) {
  http_response response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace cardamomyard
