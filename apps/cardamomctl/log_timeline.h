#ifndef CARDAMOMYARD_CARDAMOMCTL_LOG_TIMELINE_H_
#define CARDAMOMYARD_CARDAMOMCTL_LOG_TIMELINE_H_

#include <cstddef>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cardamomyard::ctl {

/// \brief One line of a process's JSON log.
struct log_line {
  std::string time;
  std::string source;  ///< Its host, or the file when the line names none.
  std::string level;
  std::string part;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;

  /// \returns the value of a field, or an empty text.
  std::string Field(const std::string& name) const;
};

/// \brief Joins the log lines of several processes about one request, batch
/// job or batch item into one time line.
///
/// Lines belong to it that name the id, and lines about the backend servers
/// that served it, as far as these stand between its first and its last line or
/// shortly before.
class log_timeline {
 public:
  explicit log_timeline(std::string id) : id_(std::move(id)) {}

  /// Reads a log. Lines that are not JSON objects are counted and left out.
  void Read(std::istream& log, const std::string& source);
  /// \returns the lines in the order of time.
  std::vector<log_line> Lines() const;
  std::size_t unreadable() const { return unreadable_; }

 private:
  bool Names(const log_line& line) const;

  std::string id_;
  std::vector<log_line> own_;
  std::map<std::string, std::vector<log_line>> by_backend_;
  std::size_t unreadable_ = 0;
};

}  // namespace cardamomyard::ctl

#endif  // CARDAMOMYARD_CARDAMOMCTL_LOG_TIMELINE_H_
