#include "src/jobs/fleet_job.h"

#include <algorithm>
#include <boost/json.hpp>
#include <numeric>
#include <stdexcept>

namespace cardamomyard {
namespace json = boost::json;

namespace {

// Allowance for quotes, braces and field names around one item or part.
constexpr std::size_t kJsonOverheadBytes = 64;
// A character takes at most this many times its size when it is escaped, so
// that one step of a split fits into any part.
constexpr std::size_t kStepsPerPart = 8;

json::value ToJson(const job_item& item) {
  json::array headers;
  for (const http_header& header : item.headers.all()) {
    headers.push_back(json::array{header.name, header.value});
  }
  return json::object{{"id", item.id},
                      {"path", item.path},
                      {"headers", std::move(headers)},
                      {"body", Base64Encode(item.body)},
                      {"tokens", item.tokens}};
}

json::array ToJson(const std::vector<job_item>& items) {
  json::array list;
  for (const job_item& item : items) {
    list.push_back(ToJson(item));
  }
  return list;
}

std::vector<job_item> ItemsFromJson(const json::value& value) {
  std::vector<job_item> items;
  for (const json::value& entry : value.as_array()) {
    const json::object& fields = entry.as_object();
    job_item item;
    item.id = fields.at("id").as_string();
    item.path = fields.at("path").as_string();
    for (const json::value& header : fields.at("headers").as_array()) {
      const json::array& pair = header.as_array();
      item.headers.Add(std::string(pair.at(0).as_string()),
                       std::string(pair.at(1).as_string()));
    }
    result<std::string> bytes = Base64Decode(fields.at("body").as_string());
    if (!bytes) {
      throw std::runtime_error(bytes.error().message());
    }
    item.body = std::move(*bytes);
    item.tokens = fields.at("tokens").to_number<std::int64_t>();
    items.push_back(std::move(item));
  }
  return items;
}

json::array ToJson(const listed_result& listed) {
  json::array fields{listed.item, listed.completed, listed.text};
  if (listed.text_parts > 0) {
    fields.emplace_back(listed.text_parts);
    fields.emplace_back(listed.text_name);
  }
  return fields;
}

json::value ToJson(const std::vector<listed_result>& results) {
  json::array list;
  for (const listed_result& listed : results) {
    list.push_back(ToJson(listed));
  }
  return list;
}

std::vector<listed_result> ResultsFromJson(const json::value& value) {
  std::vector<listed_result> results;
  for (const json::value& entry : value.as_array()) {
    const json::array& fields = entry.as_array();
    listed_result listed;
    listed.item = fields.at(0).as_string();
    listed.completed = fields.at(1).as_bool();
    listed.text = fields.at(2).as_string();
    if (fields.size() > 3) {
      listed.text_parts = fields.at(3).to_number<std::int64_t>();
      listed.text_name = fields.at(4).as_string();
    }
    results.push_back(std::move(listed));
  }
  return results;
}

/// \returns whether a character of UTF-8 text begins with this byte.
bool BeginsCharacter(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
}

std::string Text(const json::object& object, std::string_view field) {
  return std::string(object.at(field).as_string());
}

std::int64_t Number(const json::object& object, std::string_view field) {
  return object.at(field).to_number<std::int64_t>();
}

/// Parses \p value and runs \p read on the result; returns an error if either
/// throws.
template <class Read>
auto Decode(const std::string& what, const std::string& value, Read read)
    -> result<decltype(read(std::declval<const json::value&>()))> {
  try {
    return read(json::parse(value));
  } catch (const std::exception& exception) {
    return Fail(error_kind::internal,
                "cannot decode a stored " + what + ": " + exception.what());
  }
}

}  // namespace

std::int64_t job_input::tokens() const {
  return std::accumulate(
      items.begin(), items.end(), std::int64_t{0},
      [](std::int64_t sum, const job_item& item) { return sum + item.tokens; });
}

const job_item* job_input::Find(const std::string& item) const {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&item](const job_item& entry) { return entry.id == item; });
  return found == items.end() ? nullptr : &*found;
}

std::int64_t job_results::sealed_count() const {
  return std::accumulate(sealed_page_sizes.begin(), sealed_page_sizes.end(),
                         std::int64_t{0});
}

std::string EncodeRecord(const fleet_job& record) {
  json::object fields{{"account", record.account},
                      {"route", record.route},
                      {"host", record.host},
                      {"owner", record.owner},
                      {"total", record.total},
                      {"tokens", record.tokens},
                      {"input_parts", record.input_parts},
                      {"submitted_unix_ms", record.submitted_unix_ms},
                      {"owner_changes", record.owner_changes},
                      {"ended", record.cancelled},
                      {"finished", record.finished}};
  if (!record.items.empty()) {
    fields["items"] = ToJson(record.items);
  }
  return json::serialize(fields);
}

result<fleet_job> DecodeRecord(const std::string& id,
                               const std::string& value) {
  return Decode("job", value, [&id](const json::value& parsed) {
    const json::object& fields = parsed.as_object();
    fleet_job record;
    record.id = id;
    record.account = Text(fields, "account");
    record.route = Text(fields, "route");
    record.host = Text(fields, "host");
    record.owner = Text(fields, "owner");
    record.total = Number(fields, "total");
    record.tokens = Number(fields, "tokens");
    record.input_parts = Number(fields, "input_parts");
    record.owner_changes = Number(fields, "owner_changes");
    if (const json::value* items = fields.if_contains("items")) {
      record.items = ItemsFromJson(*items);
    }
    record.submitted_unix_ms = Number(fields, "submitted_unix_ms");
    record.cancelled = fields.at("ended").as_bool();
    record.finished = fields.at("finished").as_bool();
    return record;
  });
}

std::string EncodeInput(const std::vector<job_item>& items) {
  return json::serialize(ToJson(items));
}

result<std::vector<job_item>> DecodeInput(const std::string& value) {
  return Decode("job input", value, [](const json::value& parsed) {
    return ItemsFromJson(parsed);
  });
}

std::string EncodeResults(const job_results& results) {
  return json::serialize(
      json::object{{"sealed", json::array(results.sealed_page_sizes.begin(),
                                          results.sealed_page_sizes.end())},
                   {"open", ToJson(results.open_page)},
                   {"fence", results.fencing_token}});
}

result<job_results> DecodeResults(const std::string& value) {
  return Decode("job result", value, [](const json::value& parsed) {
    const json::object& fields = parsed.as_object();
    job_results results;
    for (const json::value& count : fields.at("sealed").as_array()) {
      results.sealed_page_sizes.push_back(count.to_number<std::int64_t>());
    }
    results.open_page = ResultsFromJson(fields.at("open"));
    results.fencing_token = Number(fields, "fence");
    return results;
  });
}

std::string EncodePage(const std::vector<listed_result>& results) {
  return json::serialize(ToJson(results));
}

std::string EncodeListedResult(const listed_result& listed) {
  return json::serialize(ToJson(listed));
}

result<std::vector<listed_result>> DecodePage(const std::string& value) {
  return Decode("result page", value, [](const json::value& parsed) {
    return ResultsFromJson(parsed);
  });
}

result<std::vector<std::string>> EncodeInputParts(const job_input& input,
                                                  const value_size& size,
                                                  std::size_t max_bytes) {
  std::vector<std::string> parts;
  std::vector<job_item> current;
  std::size_t total = kJsonOverheadBytes;
  for (const job_item& item : input.items) {
    const std::size_t bytes = size(json::serialize(ToJson(item)));
    if (bytes + kJsonOverheadBytes > max_bytes) {
      return Fail(error_kind::too_large,
                  "item " + item.id + " takes " + std::to_string(bytes) +
                      " bytes, but the store accepts at most " +
                      std::to_string(max_bytes));
    }
    if (!current.empty() && total + bytes > max_bytes) {
      parts.push_back(EncodeInput(current));
      current.clear();
      total = kJsonOverheadBytes;
    }
    total += bytes;
    current.push_back(item);
  }
  parts.push_back(EncodeInput(current));
  return parts;
}

std::vector<std::string> SplitText(const std::string& text,
                                   const value_size& size,
                                   std::size_t max_bytes) {
  const std::size_t step = std::max<std::size_t>(1, max_bytes / kStepsPerPart);
  std::vector<std::string> parts(1);
  std::size_t total = 0;
  for (std::size_t begin = 0; begin < text.size();) {
    std::size_t end = std::min(begin + step, text.size());
    while (end < text.size() && !BeginsCharacter(text[end])) {
      ++end;
    }
    const std::string piece = text.substr(begin, end - begin);
    const std::size_t bytes = size(piece);
    if (!parts.back().empty() && total + bytes > max_bytes) {
      parts.emplace_back();
      total = 0;
    }
    parts.back() += piece;
    total += bytes;
    begin = end;
  }
  return parts;
}

}  // namespace cardamomyard
