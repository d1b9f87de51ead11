#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_REPORT_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "customer.h"

namespace cardamomyard::measure {

/// \brief What one policy reached for one customer.
struct policy_figures {
  double p99_alone_ms = 0;
  double p99_with_batch_ms = 0;
  double p99_alone_inside_ms = 0;
  double p99_with_batch_inside_ms = 0;
  double online_p99_ratio = 0;
  double batch_tokens_per_s = 0;
  double online_tokens_per_s = 0;
  double remainder_tokens_per_s = 0;
  double batch_share = 0;
  double worst_account = 0;
  double wrongful_refusals = 0;
  double overrun = 0;
  double control_bytes_per_s = 0;
  double control_cpu = 0;
  double entry_mb = 0;
  double sidecar_mb = 0;
};

/// \brief What a run with faults left.
struct fault_figures {
  double overrun = 0;
  std::size_t accepted_items = 0;
  std::size_t lost_items = 0;
  std::size_t doubled_items = 0;
  bool jobs_ended = false;
};

struct customer_figures {
  customer who;
  policy_figures adaptive;
  policy_figures naive;
  std::optional<fault_figures> faults;
};

std::string FormatTable(const customer_figures& figures);
/// \returns one JSON object with a key for each customer.
std::string FormatJson(const std::vector<customer_figures>& all);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_REPORT_H_
