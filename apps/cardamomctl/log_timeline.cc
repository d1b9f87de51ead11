#include "cardamomctl/log_timeline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <istream>
#include <optional>
#include <utility>

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

std::string Text(const json::value& value) {
  return value.is_string() ? std::string(value.as_string())
                           : json::serialize(value);
}

std::optional<log_line> Parse(const std::string& text,
                              const std::string& source) {
  boost::system::error_code code;
  const json::value parsed = json::parse(text, code);
  if (code || !parsed.is_object()) {
    return std::nullopt;
  }
  log_line line;
  line.source = source;
  for (const auto& member : parsed.as_object()) {
    const std::string name(member.key());
    std::string value = Text(member.value());
    if (name == "time") {
      line.time = std::move(value);
    } else if (name == "host") {
      line.source = std::move(value);
    } else if (name == "level") {
      line.level = std::move(value);
    } else if (name == "part") {
      line.part = std::move(value);
    } else if (name == "message") {
      line.message = std::move(value);
    } else {
      line.fields.emplace_back(name, std::move(value));
    }
  }
  return line;
}

/// \returns whether \p list, separated by commas or spaces, holds \p word.
bool Holds(const std::string& list, const std::string& word) {
  for (std::size_t at = list.find(word); at != std::string::npos;
       at = list.find(word, at + 1)) {
    const auto separates = [&list](std::size_t where) {
      return where >= list.size() || list[where] == ',' || list[where] == ' ';
    };
    if ((at == 0 || separates(at - 1)) && separates(at + word.size())) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string log_line::Field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

void log_timeline::Read(std::istream& log, const std::string& source) {
  for (std::string text; std::getline(log, text);) {
    if (text.empty()) {
      continue;
    }
    std::optional<log_line> line = Parse(text, source);
    if (!line) {
      ++unreadable_;
    } else if (Names(*line)) {
      own_.push_back(std::move(*line));
    } else if (const std::string backend = line->Field("backend");
               !backend.empty() && line->Field("request").empty() &&
               line->Field("item").empty()) {
      by_backend_[backend].push_back(std::move(*line));
    }
  }
}

bool log_timeline::Names(const log_line& line) const {
  return std::any_of(
      line.fields.begin(), line.fields.end(),
      [this](const auto& field) { return Holds(field.second, id_); });
}

std::vector<log_line> log_timeline::Lines() const {
  std::vector<log_line> lines = own_;
  const auto by_time = [](const log_line& a, const log_line& b) {
    return a.time < b.time;
  };
  std::stable_sort(lines.begin(), lines.end(), by_time);
  if (lines.empty()) {
    return lines;
  }
  const std::string first = lines.front().time;
  const std::string last = lines.back().time;
  std::set<std::string> servers;
  for (const log_line& line : own_) {
    if (const std::string backend = line.Field("backend"); !backend.empty()) {
      servers.insert(backend);
    }
    const std::string list = line.Field("servers");
    for (const auto& [backend, told] : by_backend_) {
      if (Holds(list, backend)) {
        servers.insert(backend);
      }
    }
  }
  for (const std::string& backend : servers) {
    const auto told = by_backend_.find(backend);
    if (told == by_backend_.end()) {
      continue;
    }
    // The last line before the request tells what was believed when it came.
    const log_line* before = nullptr;
    for (const log_line& line : told->second) {
      if (line.time < first) {
        before = before == nullptr || before->time < line.time ? &line : before;
      } else if (line.time <= last) {
        lines.push_back(line);
      }
    }
    if (before != nullptr) {
      lines.push_back(*before);
    }
  }
  std::stable_sort(lines.begin(), lines.end(), by_time);
  return lines;
}

}  // namespace cardamomyard::ctl
