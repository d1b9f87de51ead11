#ifndef CARDAMOMYARD_NET_HTTP_MESSAGE_H_
#define CARDAMOMYARD_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard {

/// \brief One header field.
struct http_header {
  std::string name;
  std::string value;
  friend bool operator==(const http_header&, const http_header&) = default;
};

/// \brief Header fields in their order; names compare without case.
class header_list {
 public:
  /// Appends a field, also when the name is present already.
  void Add(std::string name, std::string value);
  /// Replaces every field of that name by one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  /// \returns the first value of that name.
  std::optional<std::string> Get(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  const std::vector<http_header>& all() const { return fields_; }

  friend bool operator==(const header_list&, const header_list&) = default;

 private:
  std::vector<http_header> fields_;
};

/// \brief Compares two header names without case.
bool SameHeaderName(std::string_view a, std::string_view b);

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  header_list headers;
  std::string body;
};

struct http_response {
  int status = 200;
  header_list headers;
  std::string body;
};

/// \returns a response with a JSON body.
http_response JsonResponse(int status, std::string body);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_HTTP_MESSAGE_H_
