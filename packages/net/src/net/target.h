#ifndef CARDAMOMYARD_NET_TARGET_H_
#define CARDAMOMYARD_NET_TARGET_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard {

/// \brief A request target split into path, path segments and query.
struct request_target {
  std::string path;                   ///< As received, without the query.
  std::vector<std::string> segments;  ///< Percent-decoded.
  /// Percent-decoded; a plus sign is a blank.
  std::map<std::string, std::string> query;

  std::optional<std::string> Query(const std::string& name) const;
};

/// \returns the parts of \p target.
request_target ParseTarget(std::string_view target);

/// \returns \p text with everything but unreserved characters escaped.
std::string PercentEncode(std::string_view text);

/// \brief One parameter of a query, not encoded.
struct query_parameter {
  std::string_view name;
  std::string_view value;
};

/// \returns the path of \p segments with \p query. Everything is encoded, so
/// that names of any bytes arrive as they are.
std::string MakeTarget(const std::vector<std::string_view>& segments,
                       const std::vector<query_parameter>& query = {});

/// \returns an object key as a path, each segment percent-encoded.
std::string EncodeKeyPath(std::string_view key);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_TARGET_H_
