#include "demo/item_ledger.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace cardamomyard::demo {
namespace json = boost::json;

bool item_ledger::AddResults(const std::string& lines, bool error_file) {
  bool valid = true;
  std::istringstream input(lines);
  for (std::string line; std::getline(input, line);) {
    boost::system::error_code code;
    const json::value parsed = json::parse(line, code);
    const json::value* id = code || !parsed.is_object()
                                ? nullptr
                                : parsed.as_object().if_contains("custom_id");
    const auto found = id != nullptr && id->is_string()
                           ? items_.find(std::string(id->as_string()))
                           : items_.end();
    if (found == items_.end()) {
      valid = false;
      continue;
    }
    account& item = found->second;
    ++(error_file ? item.failed : item.completed);
    const json::value* failure = parsed.as_object().if_contains("error");
    if (failure != nullptr && failure->is_object()) {
      const json::value* kind = failure->as_object().if_contains("code");
      item.failure = kind != nullptr ? json::serialize(*kind) : "";
    }
  }
  return valid;
}

std::size_t item_ledger::completed() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const auto& i) { return i.second.completed > 0; }));
}

std::size_t item_ledger::failed() const {
  return static_cast<std::size_t>(
      std::count_if(items_.begin(), items_.end(), [](const auto& i) {
        return i.second.completed == 0 && i.second.failed > 0;
      }));
}

std::size_t item_ledger::lost() const {
  return accepted() - completed() - failed();
}

std::size_t item_ledger::doubled() const {
  return static_cast<std::size_t>(std::count_if(
      items_.begin(), items_.end(),
      [](const auto& i) { return i.second.completed + i.second.failed > 1; }));
}

void item_ledger::Print(std::ostream& out, std::size_t limit) const {
  out << "item         completed failed error\n";
  for (const auto& [id, item] : items_) {
    if (limit-- == 0) {
      return;
    }
    out << id << std::string(id.size() < 13 ? 13 - id.size() : 1, ' ')
        << item.completed << "         " << item.failed << "      "
        << item.failure << "\n";
  }
}

}  // namespace cardamomyard::demo
