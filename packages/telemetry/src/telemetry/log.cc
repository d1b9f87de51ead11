#include "src/telemetry/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/json.hpp>
#include <memory>

namespace cardamomyard {
namespace {

struct log_settings {
  std::shared_ptr<spdlog::logger> sink;
  log_format format = log_format::text;
};

log_settings& Settings() {
  static log_settings settings{
      spdlog::stderr_logger_mt("cardamomyard"),
      log_format::text,
  };
  return settings;
}

spdlog::level::level_enum ToSpdlog(log_level level) {
  switch (level) {
    case log_level::debug:
      return spdlog::level::debug;
    case log_level::info:
      return spdlog::level::info;
    case log_level::warning:
      return spdlog::level::warn;
    case log_level::error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string TextLine(std::string_view part,
                     std::string_view sentence,
                     std::initializer_list<log_field> fields) {
  std::string line = "[" + std::string(part) + "] " + std::string(sentence);
  for (const log_field& field : fields) {
    line += " " + std::string(field.name) + "=" +
            boost::json::serialize(boost::json::string(field.value));
  }
  return line;
}

std::string JsonLine(std::string_view part,
                     std::string_view sentence,
                     std::initializer_list<log_field> fields) {
  boost::json::object line;
  line["part"] = std::string(part);
  line["message"] = std::string(sentence);
  for (const log_field& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  // The pattern of the JSON format opens the object with time and level.
  return boost::json::serialize(line).substr(1);
}

void Write(log_level level,
           std::string_view part,
           std::string_view sentence,
           std::initializer_list<log_field> fields) {
  log_settings& settings = Settings();
  const auto spdlog_level = ToSpdlog(level);
  if (!settings.sink->should_log(spdlog_level)) {
    return;
  }
  settings.sink->log(spdlog_level, "{}",
                     settings.format == log_format::json
                         ? JsonLine(part, sentence, fields)
                         : TextLine(part, sentence, fields));
}

}  // namespace

void ConfigureLogs(log_level level, log_format format) {
  log_settings& settings = Settings();
  settings.format = format;
  settings.sink->set_level(ToSpdlog(level));
  settings.sink->flush_on(spdlog::level::info);
  settings.sink->set_pattern(
      format == log_format::json
          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)"
          : "%Y-%m-%dT%H:%M:%S.%e%z %l %v");
}

void part_log::Debug(std::string_view sentence,
                     std::initializer_list<log_field> fields) const {
  Write(log_level::debug, part_, sentence, fields);
}

void part_log::Info(std::string_view sentence,
                    std::initializer_list<log_field> fields) const {
  Write(log_level::info, part_, sentence, fields);
}

void part_log::Warning(std::string_view sentence,
                       std::initializer_list<log_field> fields) const {
  Write(log_level::warning, part_, sentence, fields);
}

void part_log::Error(std::string_view sentence,
                     std::initializer_list<log_field> fields) const {
  Write(log_level::error, part_, sentence, fields);
}

}  // namespace cardamomyard
