#ifndef CARDAMOMYARD_TELEMETRY_LOG_H_
#define CARDAMOMYARD_TELEMETRY_LOG_H_

#include <chrono>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cardamomyard {

enum class log_level { debug, info, warning, error };
enum class log_format { text, json };

/// \brief Sets level and format of all logs of the process; call it once at
/// start. Logs go to standard output.
///
/// Writing never blocks: lines wait in a bounded queue that drops the oldest
/// when standard output is not read, and at most some hundred lines a second
/// are taken; a line tells how many were dropped.
///
/// \param host  name of this host, a field of each JSON line unless empty.
void ConfigureLogs(log_level level,
                   log_format format,
                   std::string_view host = "");

/// Waits until the lines written so far are out, at most \p limit.
void FlushLogs(std::chrono::milliseconds limit);

/// \brief A named value beside a log sentence.
struct log_field {
  log_field(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  template <std::integral T>
  log_field(std::string_view field_name, T field_value)
      : name(field_name), value(std::to_string(field_value)) {}

  std::string_view name;
  std::string value;
};

/// \brief Log of one part of the system with its fixed prefix.
class part_log {
 public:
  /// \param part  name of the part; must outlive the log, as a literal does.
  explicit constexpr part_log(std::string_view part) : part_(part) {}

  void Debug(std::string_view sentence,
             std::initializer_list<log_field> fields = {}) const;
  void Info(std::string_view sentence,
            std::initializer_list<log_field> fields = {}) const;
  void Warning(std::string_view sentence,
               std::initializer_list<log_field> fields = {}) const;
  void Error(std::string_view sentence,
             std::initializer_list<log_field> fields = {}) const;

 private:
  std::string_view part_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_TELEMETRY_LOG_H_
