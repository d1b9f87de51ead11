#ifndef CARDAMOMYARD_TOOLS_LOADGEN_LOAD_REPORT_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "load_profile.h"
#include "recorder.h"

namespace cardamomyard::loadgen {

/// \returns a table with a row for each caller.
std::string FormatTable(const load_profile& profile,
                        const std::vector<caller_summary>& summaries);

/// \returns the same figures as one line of JSON.
std::string FormatJson(const load_profile& profile,
                       const std::vector<caller_summary>& summaries);

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_LOAD_REPORT_H_
