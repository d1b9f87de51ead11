#include "src/telemetry/log.h"

#include <fmt/format.h>
#include <pthread.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <memory>
#include <thread>

namespace cardamomyard {
namespace {

// Lines that wait for a slow reader of standard output; the oldest are dropped
// beyond it, so that logging never blocks.
constexpr std::size_t kQueuedLines = 4096;
// A host logs a few lines a request; more than this a second only comes from
// a fault that repeats itself.
constexpr std::int64_t kMaxLinesPerSecond = 500;
constexpr unsigned char kFirstNonAscii = 0x80;

struct log_settings {
  std::shared_ptr<spdlog::details::thread_pool> threads;
  std::shared_ptr<spdlog::logger> sink;
  log_format format = log_format::text;
};

log_settings& Settings() {
  static log_settings settings = [] {
    log_settings made;
    // Signals are for the threads of the program: one that is delivered to the
    // thread of the logs would end the process.
    made.threads =
        std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1, [] {
          sigset_t all;
          sigfillset(&all);
          pthread_sigmask(SIG_BLOCK, &all, nullptr);
        });
    made.sink = std::make_shared<spdlog::async_logger>(
        "cardamomyard", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        made.threads, spdlog::async_overflow_policy::overrun_oldest);
    return made;
  }();
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

/// \returns \p value as text: if it is not UTF-8, its bytes beyond ASCII are
/// escaped, as no reader of JSON would accept them.
std::string ToText(std::string_view value) {
  const auto is_ascii = [](char c) {
    return static_cast<unsigned char>(c) < kFirstNonAscii;
  };
  if (std::ranges::all_of(value, is_ascii)) {
    return std::string(value);
  }
  boost::system::error_code code;
  boost::json::parse(boost::json::serialize(boost::json::string(value)), code);
  if (!code) {
    return std::string(value);
  }
  std::string escaped;
  for (const char c : value) {
    escaped += is_ascii(c)
                   ? std::string(1, c)
                   : fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
  }
  return escaped;
}

std::string TextLine(std::string_view part,
                     std::string_view sentence,
                     std::initializer_list<log_field> fields) {
  std::string line = "[" + std::string(part) + "] " + std::string(sentence);
  for (const log_field& field : fields) {
    line += " " + std::string(field.name) + "=" +
            boost::json::serialize(boost::json::string(ToText(field.value)));
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
    line[std::string(field.name)] = ToText(field.value);
  }
  // The pattern of the JSON format opens the object with time and level.
  return boost::json::serialize(line).substr(1);
}

/// Counts lines by second. \returns whether another one may be written;
/// \p dropped is set to the lines that the last second lost.
bool WithinRate(std::int64_t& dropped) {
  static std::atomic<std::int64_t> second{0};
  static std::atomic<std::int64_t> lines{0};
  const std::int64_t now =
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count();
  std::int64_t last = second.load();
  if (last != now && second.compare_exchange_strong(last, now)) {
    dropped = lines.exchange(0) - kMaxLinesPerSecond;
  }
  return ++lines <= kMaxLinesPerSecond;
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
  const auto line = [&settings](std::string_view from, std::string_view text,
                                std::initializer_list<log_field> values) {
    return settings.format == log_format::json ? JsonLine(from, text, values)
                                               : TextLine(from, text, values);
  };
  std::int64_t dropped = 0;
  // Errors are rare and pass.
  const bool allowed = WithinRate(dropped) || level == log_level::error;
  if (dropped > 0) {
    settings.sink->log(spdlog::level::warn, "{}",
                       line("log", "Lines were dropped: too many in a second.",
                            {{"dropped", dropped}}));
  }
  if (allowed) {
    settings.sink->log(spdlog_level, "{}", line(part, sentence, fields));
  }
}

/// \returns the field that names the host, as a part of spdlog's pattern.
std::string HostField(std::string_view host) {
  if (host.empty()) {
    return "";
  }
  std::string field = "\"host\":";
  for (const char c : boost::json::serialize(boost::json::string(host))) {
    field.append(c == '%' ? "%%" : std::string(1, c));
  }
  return field + ",";
}

}  // namespace

void ConfigureLogs(log_level level, log_format format, std::string_view host) {
  log_settings& settings = Settings();
  settings.format = format;
  settings.sink->set_level(ToSpdlog(level));
  settings.sink->flush_on(spdlog::level::info);
  settings.sink->set_pattern(
      format == log_format::json
          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",)" +
                HostField(host) + "%v"
          : "%Y-%m-%dT%H:%M:%S.%e%z %l %v");
}

void FlushLogs(std::chrono::milliseconds limit) {
  log_settings& settings = Settings();
  settings.sink->flush();
  const auto end = std::chrono::steady_clock::now() + limit;
  while (settings.threads->queue_size() > 0 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
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
