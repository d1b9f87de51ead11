#ifndef CARDAMOMYARD_TOOLS_LOADGEN_RECORDER_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_RECORDER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cardamomyard::loadgen {

/// \brief When one request was sent and answered, in seconds from the start of
/// the run.
struct call_sample {
  double sent_s = 0;
  double answered_s = 0;  ///< When the head of the answer came.
  int status = 0;         ///< 0 when no answer came.
  bool complete = false;
  std::string outcome;  ///< Outcome of a failed request.
};

/// \brief What became of one request.
struct call_record {
  double sent_s = 0;
  double head_ms = 0;  ///< From sending to the head of the answer.
  int status = 0;      ///< 0 when no answer came.
  bool complete = false;
  std::optional<double> first_token_ms;
  std::vector<double> gaps_ms;
  double total_ms = 0;
  std::uint64_t tokens = 0;
  std::string error;    ///< Error kind, or empty.
  std::string outcome;  ///< Outcome of a failed request.
  bool retry_after = false;
};

/// \brief Sum of one caller's records.
struct caller_summary {
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t tokens = 0;
  std::uint64_t skipped = 0;
  std::uint64_t retry_after = 0;
  std::map<int, std::uint64_t> statuses;
  std::map<std::string, std::uint64_t> errors;
  std::map<std::string, std::uint64_t> outcomes;
  std::vector<double> first_token_ms;  ///< Sorted, as the two below.
  std::vector<double> gaps_ms;
  std::vector<double> total_ms;
  std::vector<call_sample> samples;  ///< In the order of their ends.
};

/// \brief Collects records of one caller from all threads.
class recorder {
 public:
  void Sent();
  /// Counts a request that was not sent because too many were in flight.
  void Skipped();
  void Add(const call_record& record);
  caller_summary Summary() const;

 private:
  mutable std::mutex mutex_;
  caller_summary summary_;
};

/// \returns the smallest value with at least \p share of \p sorted at or below
/// it; 0 when it is empty.
double Percentile(const std::vector<double>& sorted, double share);

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_RECORDER_H_
